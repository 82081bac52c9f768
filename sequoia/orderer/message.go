package orderer

import "time"

// Message is an input of Orderer.Step.
type Message interface{ message() }

// LeaseObserved carries the lease as it is in this controller's replica of the state machine.
type LeaseObserved struct {
	Holder       string
	FencingToken uint64
	Renewals     uint64
}

// LeaseReply is the result of this controller's own Acquire or Renew. SentAt is the time at which the request was sent,
// by this process's clock.
type LeaseReply struct {
	Granted      bool
	FencingToken uint64
	SentAt       time.Time
}

// ModelState is the state of a model at an upstream.
type ModelState string

// States of a model at an upstream.
const (
	ModelLoaded   ModelState = "loaded"
	ModelUnloaded ModelState = "unloaded"
)

// Target identifies one model at one incarnation of an upstream.
type Target struct {
	Upstream    string
	Incarnation uint64
	Model       string
}

// Assignment is the desired state of a target. ChecksFencingToken says whether the upstreams of its pool reject stale
// fencing tokens.
type Assignment struct {
	Target
	State              ModelState
	ChecksFencingToken bool
}

// Plan replaces all desired states, in order of decreasing priority.
type Plan struct {
	Assignments []Assignment
}

// ModelObserved carries the state that an upstream reports for a model.
type ModelObserved struct {
	Target
	State ModelState
}

// UpstreamRemoved says that an incarnation of an upstream is draining or has been removed.
type UpstreamRemoved struct {
	Upstream    string
	Incarnation uint64
}

// Result is the result of an order.
type Result string

// Results of an order.
const (
	ResultAccepted          Result = "accepted"
	ResultFailed            Result = "failed"
	ResultStaleFencingToken Result = "old-fencing-number"
)

// OrderReply carries the result of an order.
type OrderReply struct {
	ID     string
	Result Result
}

func (LeaseObserved) message()   {}
func (LeaseReply) message()      {}
func (Plan) message()            {}
func (ModelObserved) message()   {}
func (UpstreamRemoved) message() {}
func (OrderReply) message()      {}

// Effect is an action that an Orderer requests.
type Effect interface{ effect() }

// Acquire takes over the lease with a compare-and-swap: only if it still has the expected values.
type Acquire struct {
	ExpectedFencingToken uint64
	ExpectedRenewals     uint64
}

// Renew renews the lease.
type Renew struct {
	FencingToken uint64
}

// Send sends an order. Nothing may be written after Deadline, and the connection must be closed at Deadline.
type Send struct {
	ID           string
	Target       Target
	State        ModelState
	FencingToken uint64
	Deadline     time.Time
}

// CancelAll cancels all orders in flight, because the lease is lost.
type CancelAll struct{}

func (Acquire) effect()   {}
func (Renew) effect()     {}
func (Send) effect()      {}
func (CancelAll) effect() {}
