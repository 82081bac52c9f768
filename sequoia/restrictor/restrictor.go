package restrictor

import (
	"fmt"
	"slices"

	"sequoiaspread.example/sequoia/parser"
)

// Purpose says why bytes of a request are about to leave the process.
type Purpose string

// Purposes of a send.
const (
	PurposeRequest Purpose = "request"
	PurposeRetry   Purpose = "retry"
	PurposeForward Purpose = "forward"
	PurposeRecord  Purpose = "record"
	PurposeLog     Purpose = "log"
)

// Subject is whose data is sent: the organisation, the service, and the places to which the caller narrowed the request.
type Subject struct {
	Organisation string
	Service      string
	// Narrowed lists regions or availability zones; it can only take places away. Empty means no narrowing.
	RestrictedTo []string
}

// Restrictor decides by the rules of one document; it is immutable and safe for concurrent use.
type Restrictor struct {
	doc *parser.Document
}

// New returns a restrictor for a document, which must not be changed afterwards.
func New(doc *parser.Document) *Restrictor {
	return &Restrictor{doc: doc}
}

// AllowedZones returns the availability zones in which data of the subject may be, in document order.
func (r *Restrictor) AllowedZones(subject Subject) []string {
	allowed := r.doc.AllowedZones(subject.Organisation, subject.Service)
	if len(subject.RestrictedTo) == 0 {
		return allowed
	}
	return slices.DeleteFunc(allowed, func(zone string) bool { return !r.within(zone, subject.RestrictedTo) })
}

// Check returns an error of kind KindRefused when bytes of the subject may not go to an availability zone,
// and one of kind KindUnknown when the organisation, service or availability zone is not declared.
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

func (r *Restrictor) within(zone string, places []string) bool {
	return slices.Contains(places, zone) || slices.Contains(places, r.doc.RegionOf(zone))
}
