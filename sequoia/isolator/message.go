package isolator

import (
	"time"

	"sequoiaspread.example/sequoia/estimator"
)

// Upstream identifies one incarnation of an upstream.
type Upstream = estimator.Upstream

// Fingerprint is a hash that identifies a request without containing its prompt.
type Fingerprint [16]byte

// Message is an event about a request, an upstream or a fingerprint.
type Message interface {
	Kind() MessageKind
}

// MessageKind is the kind of a message.
type MessageKind string

// Kinds of messages.
const (
	KindStarted     MessageKind = "started"
	KindEnded       MessageKind = "ended"
	KindCrashed     MessageKind = "crashed"
	KindPeerFinding MessageKind = "learned"
)

// Started reports that a request was sent to an upstream.
type Started struct {
	RequestID   string
	Fingerprint Fingerprint
	Upstream    Upstream
	Exclusive   bool // the upstream runs no other request
}

// Ended reports that a request ended without a crash of its upstream. Complete is set if the whole answer was received.
type Ended struct {
	RequestID string
	Complete  bool
}

// Crashed reports that an upstream crashed.
type Crashed struct {
	Upstream Upstream
}

// PeerFinding is a finding of another gateway.
type PeerFinding struct {
	Finding Finding
}

// Kind returns the kind of the message.
func (Started) Kind() MessageKind { return KindStarted }

// Kind returns the kind of the message.
func (Ended) Kind() MessageKind { return KindEnded }

// Kind returns the kind of the message.
func (Crashed) Kind() MessageKind { return KindCrashed }

// Kind returns the kind of the message.
func (PeerFinding) Kind() MessageKind { return KindPeerFinding }

// Effect is a result to send to other gateways.
type Effect interface {
	Subject() Fingerprint
}

// Finding lists the upstreams that a fingerprint may have crashed, and whether a trial confirmed or cleared it.
type Finding struct {
	Fingerprint Fingerprint
	Lost        []Upstream
	Confirmed   bool
	Cleared     bool
}

// Subject returns the fingerprint.
func (f Finding) Subject() Fingerprint { return f.Fingerprint }

// VerdictKind is how a request may run.
type VerdictKind string

// Kinds of verdicts.
const (
	VerdictUnrestricted VerdictKind = "free"   // on any upstream
	VerdictSameUpstream VerdictKind = "follow" // on the upstream that is already running a copy
	VerdictExclusive    VerdictKind = "alone"  // on an upstream without other requests
	VerdictWait         VerdictKind = "wait"   // not now, because a trial is running
	VerdictRefuse       VerdictKind = "refuse" // not at all
)

// Verdict is how a request may run. Upstream is set for VerdictSameUpstream, RetryAfter for VerdictWait and
// VerdictRefuse.
type Verdict struct {
	Kind       VerdictKind
	Upstream   Upstream
	RetryAfter time.Duration
}
