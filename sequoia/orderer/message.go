package orderer

import "time"

// Message is what an Orderer can be told.
type Message interface{ message() }

// LeaseSeen gives the lease as this controller's copy of the agreed state has it.
type LeaseObserved struct {
	Holder       string
	FencingToken uint64
	Renewals     uint64
}

// LeaseReply is the outcome of this controller's own request for or renewal of the lease; SentAt is when the request
// was sent, by this process's clock.
type LeaseReply struct {
	Granted      bool
	FencingToken uint64
	SentAt       time.Time
}

// ModelState is a state that an upstream can have for a model.
type ModelState string

// States of a model at an upstream.
const (
	ModelLoaded   ModelState = "loaded"
	ModelUnloaded ModelState = "unloaded"
)

// Target names one model at one incarnation of an upstream.
type Target struct {
	Upstream    string
	Incarnation uint64
	Model       string
}

// Assignment is the wanted state of a target; ChecksFencing says whether its pool refuses old fencing numbers.
type Assignment struct {
	Target
	State              ModelState
	ChecksFencingToken bool
}

// Plan replaces all wanted states, the most important first.
type Plan struct {
	Assignments []Assignment
}

// Observed gives the state that an upstream reports for a model.
type ModelObserved struct {
	Target
	State ModelState
}

// Gone says that an incarnation of an upstream is leaving or no longer there.
type UpstreamRemoved struct {
	Upstream    string
	Incarnation uint64
}

// Result is how an order ended.
type Result string

// Results of an order.
const (
	ResultAccepted          Result = "accepted"
	ResultFailed            Result = "failed"
	ResultStaleFencingToken Result = "old-fencing-number"
)

// OrderReply tells how an order ended.
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

// Effect is what an Orderer asks its owner to do.
type Effect interface{ effect() }

// Acquire asks for the lease to be taken over if it still is as it was seen.
type Acquire struct {
	ExpectedFencingToken uint64
	ExpectedRenewals     uint64
}

// Renew asks for the lease to be renewed.
type Renew struct {
	FencingToken uint64
}

// Send asks for an order to be sent; nothing may be sent after Deadline, and the connection is closed at Deadline.
type Send struct {
	ID           string
	Target       Target
	State        ModelState
	FencingToken uint64
	Deadline     time.Time
}

// CancelAll asks for all orders in progress to be cancelled, because the lease is lost.
type CancelAll struct{}

func (Acquire) effect()   {}
func (Renew) effect()     {}
func (Send) effect()      {}
func (CancelAll) effect() {}
