package admitter

import "time"

// Message is an event that changes the queues or the capacity.
type Message interface {
	apply(*Admitter, time.Time) []Effect
}

// AdmissionRequest asks for admission of a request.
type AdmissionRequest struct {
	RequestID    string
	Organisation string
	Rank         int           // index in the configuration document, 0 for the most urgent
	Work         float64       // expected work in decode tokens, from estimator.Estimator.Work
	FirstToken   time.Duration // expected time from admission to first token, network included
}

// Capacity sets the number of requests that the upstreams may run concurrently (Slots), the estimated number in flight
// from other VMs (PeerInFlight) and the number of VMs that share the upstreams, including this one (Senders).
type Capacity struct {
	Slots        float64
	PeerInFlight float64
	Senders      int
}

// localShare returns the slots of this process if all VMs share them equally.
func (m Capacity) localShare() float64 {
	return m.Slots / float64(max(m.Senders, 1))
}

// Done reports that an admitted request ended. Work is the actual work, or 0 if it was as expected.
type Done struct {
	RequestID string
	Work      float64
}

// Cancel reports that the caller of a queued request has disconnected.
type Cancel struct {
	RequestID string
}

// Effect is a decision on one request: Admit or Refuse.
type Effect interface {
	Request() string
}

// Admit admits a request.
type Admit struct {
	RequestID string
	Rank      int           // priority for the engine, lower runs first
	Waited    time.Duration // time spent in the queue
}

// Refuse rejects a request that has not run.
type Refuse struct {
	RequestID  string
	Reason     Reason
	RetryAfter time.Duration // estimated from the queue length and the admission rate
}

// Reason is the reason for a refusal.
type Reason string

// Reasons for refusals.
const (
	ReasonTargetUnreachable Reason = "target-cannot-be-met" // the expected wait exceeds the wait budget
	ReasonQueueFull         Reason = "queue-full"
	ReasonWaitedTooLong     Reason = "waited-too-long" // the time in the queue exceeded the wait budget
	ReasonUnknownRank       Reason = "unknown-rank"
	ReasonNoCapacity        Reason = "no-capacity" // no upstream has any capacity
)

// Request returns the request ID.
func (e Admit) Request() string { return e.RequestID }

// Request returns the request ID.
func (e Refuse) Request() string { return e.RequestID }
