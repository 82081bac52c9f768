package tracker

import "time"

// Member identifies an entry VM and one of its incarnations. A VM that restarts has a higher incarnation.
type Member struct {
	Name        string `json:"name"`
	Zone        string `json:"zone"`
	Incarnation uint64 `json:"incarnation"`
}

// State is the health of a member as this process sees it.
type State string

// States of a member. At the same incarnation, a later state in this list overrides an earlier one.
const (
	StateLive     State = "live"
	StateSuspect  State = "suspect"
	StateStopping State = "stopping"
	StateDead     State = "dead"
)

func (s State) precedence() int {
	switch s {
	case StateSuspect:
		return 1
	case StateStopping:
		return 2
	case StateDead:
		return 3
	default:
		return 0
	}
}

// Update is one row of the membership table as sent within an availability zone. Version is the configuration version
// that the member has applied.
type Update struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
	State       State  `json:"state"`
	Version     uint64 `json:"version"`
}

// PoolLoad is the load of one pool of an availability zone: Queued in tokens, Capacity in tokens per second.
type PoolLoad struct {
	Pool     string `json:"pool"`
	Capacity int64  `json:"capacity"`
	Queued   int64  `json:"queued"`
}

// Aggregate is the summary of one availability zone that is sent to the other zones: a sample of its VMs and the load
// of its pools.
type Aggregate struct {
	Zone    string        `json:"zone"`
	Age     time.Duration `json:"age"`
	Live    int           `json:"live"`
	Members []string      `json:"members"`
	Loads   []PoolLoad    `json:"loads,omitempty"`
}

// Message is an input of Tracker.Step.
type Message interface{ message() }

// Probe asks the receiver for a reply. If Target is set, the receiver probes that VM on behalf of the sender.
type Probe struct {
	ID         uint64      `json:"id"`
	From       string      `json:"from"`
	Target     string      `json:"target,omitempty"`
	Updates    []Update    `json:"updates,omitempty"`
	Aggregates []Aggregate `json:"aggregates,omitempty"`
}

// ProbeReply is the reply to a Probe with the same ID.
type ProbeReply struct {
	ID         uint64      `json:"id"`
	From       string      `json:"from"`
	Updates    []Update    `json:"updates,omitempty"`
	Aggregates []Aggregate `json:"aggregates,omitempty"`
}

// Roster lists the names and availability zones of all entry VMs in the applied document.
type Roster struct {
	Members []Member
}

// Version is the configuration version that this process has applied.
type Version struct {
	Number uint64
}

// Load is the load of the local availability zone's pools as seen by this process.
type Load struct {
	Pools []PoolLoad
}

// Stop marks the start of the graceful drain of this process.
type Stop struct{}

func (Probe) message()      {}
func (ProbeReply) message() {}
func (Roster) message()     {}
func (Version) message()    {}
func (Load) message()       {}
func (Stop) message()       {}
func (Aggregate) message()  {}

// Effect is an output of Tracker.Step and Tracker.Tick that the caller carries out.
type Effect interface{ effect() }

// SendProbe sends a probe to a VM.
type SendProbe struct {
	To    string
	Probe Probe
}

// SendReply sends a probe reply to a VM.
type SendReply struct {
	To    string
	Reply ProbeReply
}

// SendAggregate sends the aggregate of the local availability zone to a VM of another zone.
type SendAggregate struct {
	To        string
	Aggregate Aggregate
}

// StateChanged reports a state transition of a member.
type StateChanged struct {
	Member Update
	Before State
	After  State
}

func (SendProbe) effect()     {}
func (SendReply) effect()     {}
func (SendAggregate) effect() {}
func (StateChanged) effect()  {}
