package isolator

import (
	"time"

	"sequoiaspread.example/sequoia/estimator"
)

// Upstream identifies one life of an upstream.
type Upstream = estimator.Upstream

// Fingerprint identifies a prompt without containing it.
type Fingerprint [16]byte

// Message is something that happened to a request or an upstream.
type Message interface {
	Kind() MessageKind
}

// MessageKind names the type of a message.
type MessageKind string

// Kinds of messages.
const (
	KindStarted     MessageKind = "started"
	KindEnded       MessageKind = "ended"
	KindCrashed     MessageKind = "crashed"
	KindPeerFinding MessageKind = "learned"
)

// Started says that a request was sent to an upstream.
type Started struct {
	RequestID   string
	Fingerprint Fingerprint
	Upstream    Upstream
	Exclusive   bool // the upstream runs nothing else
}

// Ended says that a request ended while its upstream lived; Whole says that the answer is complete.
type Ended struct {
	RequestID string
	Complete  bool
}

// Crashed says that an upstream died with requests in flight.
type Crashed struct {
	Upstream Upstream
}

// Learned is what another gateway found out about a fingerprint.
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

// Effect is something to tell other gateways.
type Effect interface {
	Subject() Fingerprint
}

// Finding states the upstreams that a fingerprint may have crashed, and whether a trial confirmed or cleared it.
type Finding struct {
	Fingerprint Fingerprint
	Lost        []Upstream
	Confirmed   bool
	Cleared     bool
}

// About returns the fingerprint.
func (f Finding) Subject() Fingerprint { return f.Fingerprint }

// VerdictKind says how a request may run.
type VerdictKind string

// Kinds of verdicts.
const (
	VerdictUnrestricted VerdictKind = "free"   // on any upstream
	VerdictSameUpstream VerdictKind = "follow" // on the upstream that already runs a copy
	VerdictExclusive    VerdictKind = "alone"  // on an upstream without other requests
	VerdictWait         VerdictKind = "wait"   // not now, a trial is running
	VerdictRefuse       VerdictKind = "refuse" // not at all
)

// Verdict says how a request may run; RetryAfter is set for wait and refuse.
type Verdict struct {
	Kind       VerdictKind
	Upstream   Upstream
	RetryAfter time.Duration
}
