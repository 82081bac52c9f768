package answerer

import (
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"sequoiaspread.example/sequoia/director"
)

// staleDocumentAge is the age from which a document counts as doubtful: a VM that runs and reaches a coordinator has it
// confirmed with each heartbeat.
const staleDocumentAge = 3 * time.Second

// State is a document with its place in the order of the coordinators' states.
type State struct {
	Document  *director.Document
	Evacuated []string
	Revision  uint64
	// Confirmed is false for a state from replayed logs that no leader has confirmed.
	Confirmed bool
	// ConfirmedAt is when this VM asked for the reply that named the state as the newest one.
	ConfirmedAt time.Time
}

// appliedDocument is the table of a document and what is known about its age.
type appliedDocument struct {
	table     *director.Table
	revision  uint64
	confirmed bool
	// confirmedAt is the time of the latest heartbeat whose reply named the document as the newest. It keeps the
	// monotonic reading, so that a step of the clock does not change the age.
	confirmedAt atomic.Pointer[time.Time]
}

// ConfirmDocument records that a coordinator named the applied revision as the newest in its reply to a heartbeat that
// was sent at the given time.
func (a *Answerer) ConfirmDocument(revision uint64, sentAt time.Time) {
	document := a.document.Load()
	if document == nil || !document.confirmed || document.revision != revision {
		return
	}
	for {
		known := document.confirmedAt.Load()
		if !sentAt.After(*known) || document.confirmedAt.CompareAndSwap(known, &sentAt) {
			return
		}
	}
}

// age returns how long ago the document was last confirmed as the newest, or false if it never was.
func (d *appliedDocument) age(now time.Time) (time.Duration, bool) {
	if !d.confirmed {
		return 0, false
	}
	return now.Sub(*d.confirmedAt.Load()), true
}

// inDoubt reports whether a newer document may be in force elsewhere.
func (d *appliedDocument) inDoubt(now time.Time) bool {
	age, confirmed := d.age(now)
	return !confirmed || age > staleDocumentAge
}

// header returns the revision and version for headerDocument.
func (d *appliedDocument) header() string {
	return strconv.FormatUint(d.revision, 10) + "." + strconv.FormatUint(d.table.Version, 10)
}

// senderInfo is what the entry VM that forwarded a request stated about its decision.
type senderInfo struct {
	// known is false if the request came from a caller or from a VM that states nothing.
	known             bool
	revision, version uint64
	// receiver is the name of the VM that the request was meant for.
	receiver string
}

func parseSender(header http.Header) senderInfo {
	info := senderInfo{receiver: header.Get(headerReceiver)}
	revision, version, ok := strings.Cut(header.Get(headerDocument), ".")
	if !ok {
		return info
	}
	var err error
	if info.revision, err = strconv.ParseUint(revision, 10, 64); err != nil {
		return info
	}
	if info.version, err = strconv.ParseUint(version, 10, 64); err != nil {
		return info
	}
	info.known = true
	return info
}
