package restrictor

import (
	"fmt"
	"slices"

	"sequoiaspread.example/sequoia/parser"
)

// Purpose is the reason for sending bytes of a request to another process.
type Purpose string

// Purposes of a send.
const (
	PurposeRequest Purpose = "request"
	PurposeRetry   Purpose = "retry"
	PurposeForward Purpose = "forward"
	PurposeRecord  Purpose = "record"
	PurposeLog     Purpose = "log"
)

// Subject identifies the owner of the data to be sent, and the locations to which the caller restricted the request.
type Subject struct {
	Organisation string
	Service      string
	// RestrictedTo lists regions or availability zones. It only further restricts what the rules allow; empty means no
	// restriction.
	RestrictedTo []string
}

// Restrictor checks the residency rules of one configuration document. It is immutable and safe for concurrent use.
type Restrictor struct {
	doc *parser.Document
}

// New returns a Restrictor for a document, which must not be modified afterwards.
func New(doc *parser.Document) *Restrictor {
	return &Restrictor{doc: doc}
}

// AllowedZones returns the availability zones to which data of the subject may be sent, in document order.
func (r *Restrictor) AllowedZones(subject Subject) []string {
	allowed := r.doc.AllowedZones(subject.Organisation, subject.Service)
	if len(subject.RestrictedTo) == 0 {
		return allowed
	}
	return slices.DeleteFunc(allowed, func(zone string) bool { return !r.isWithin(zone, subject.RestrictedTo) })
}

// Check returns an Error of kind KindRefused if data of the subject may not be sent to an availability zone, which
// includes undeclared zones, and one of kind KindUnknown if the organisation or service is not declared.
func (r *Restrictor) Check(subject Subject, purpose Purpose, zone string) error {
	op := fmt.Sprintf("send %s to %s", purpose, zone)
	if _, ok := r.doc.Organisation(subject.Organisation); !ok {
		return &Error{Op: op, Kind: KindUnknown}
	}
	if _, ok := r.doc.Service(subject.Service); !ok {
		return &Error{Op: op, Kind: KindUnknown}
	}
	if !slices.Contains(r.AllowedZones(subject), zone) {
		return &Error{Op: op, Kind: KindRefused}
	}
	return nil
}

func (r *Restrictor) isWithin(zone string, locations []string) bool {
	return slices.Contains(locations, zone) || slices.Contains(locations, r.doc.RegionOf(zone))
}
