package admitter

import "time"

// Message is something that changes the queues or the capacity.
type Message interface {
	apply(*Admitter, time.Time) []Effect
}

// Offer asks for admission of a request.
type AdmissionRequest struct {
	RequestID    string
	Organisation string
	Rank         int           // index in the document, 0 for the most urgent
	Work         float64       // expected work in tokens of decoding, as Work of the estimator gives it
	FirstToken   time.Duration // expected time from admission to the first token, network included
}

// Capacity states the requests that the upstreams may run at the same time, an estimate of those that other VMs run
// there, and how many VMs share the upstreams, this one included.
type Capacity struct {
	Slots        float64
	PeerInFlight float64
	Senders      int
}

// part is the slots of this process when all VMs use an equal part.
func (m Capacity) part() float64 {
	return m.Slots / float64(max(m.Senders, 1))
}

// Done says that an admitted request ended; Work is what it took, 0 when as expected.
type Done struct {
	RequestID string
	Work      float64
}

// Withdraw says that the caller of a queued request went away.
type Cancel struct {
	RequestID string
}

// Effect is a decision on one request: Admit or Refuse.
type Effect interface {
	Request() string
}

// Admit lets a request go to an upstream.
type Admit struct {
	RequestID string
	Rank      int           // priority for the engine, lower is earlier
	Waited    time.Duration // time in the queue
}

// Refuse refuses a request that was not run.
type Refuse struct {
	RequestID  string
	Reason     Reason
	RetryAfter time.Duration // from the length of the queue and the rate at which it drains
}

// Reason says why a request is refused.
type Reason string

// Reasons of refusals.
const (
	ReasonTargetUnreachable Reason = "target-cannot-be-met" // the expected wait exceeds what the target leaves
	ReasonQueueFull         Reason = "queue-full"
	ReasonWaitedTooLong     Reason = "waited-too-long" // the wait in the queue exceeded what the target leaves
	ReasonUnknownRank       Reason = "unknown-rank"
	ReasonNoCapacity        Reason = "no-capacity" // no upstream can take any request
)

// Request returns the request's ID.
func (e Admit) Request() string { return e.RequestID }

// Request returns the request's ID.
func (e Refuse) Request() string { return e.RequestID }
