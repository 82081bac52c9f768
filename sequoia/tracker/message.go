package tracker

import "time"

// Member names an entry VM and one of its incarnations; a VM that comes back has a higher incarnation.
type Member struct {
	Name        string `json:"name"`
	Zone        string `json:"zone"`
	Incarnation uint64 `json:"incarnation"`
}

// State is what is believed of a member.
type State string

// States of a member; at the same incarnation a later one in this list overrides an earlier one.
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

// Update is one row of the membership table as it travels within an availability zone; Version is the configuration
// in force at the member.
type Update struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
	State       State  `json:"state"`
	Version     uint64 `json:"version"`
}

// PoolLoad is the load of one pool of an availability zone in tokens; Capacity is in tokens per second.
type PoolLoad struct {
	Pool     string `json:"pool"`
	Capacity int64  `json:"capacity"`
	Queued   int64  `json:"queued"`
}

// Aggregate is what one availability zone tells the others: some of its VMs and the load of its pools.
type Aggregate struct {
	Zone    string        `json:"zone"`
	Age     time.Duration `json:"age"`
	Live    int           `json:"live"`
	Members []string      `json:"members"`
	Loads   []PoolLoad    `json:"loads,omitempty"`
}

// Message is what a Tracker can be told.
type Message interface{ message() }

// Probe asks whether the receiver is there; a Target asks it to probe that VM on behalf of the sender.
type Probe struct {
	ID         uint64      `json:"id"`
	From       string      `json:"from"`
	Target     string      `json:"target,omitempty"`
	Updates    []Update    `json:"updates,omitempty"`
	Aggregates []Aggregate `json:"aggregates,omitempty"`
}

// ProbeReply answers a probe.
type ProbeReply struct {
	ID         uint64      `json:"id"`
	From       string      `json:"from"`
	Updates    []Update    `json:"updates,omitempty"`
	Aggregates []Aggregate `json:"aggregates,omitempty"`
}

// Roster gives the names and availability zones of all entry VMs of the document in force.
type Roster struct {
	Members []Member
}

// Version gives the configuration in force in this process.
type Version struct {
	Number uint64
}

// Load gives the load of this availability zone's pools as this process sees it.
type Load struct {
	Pools []PoolLoad
}

// Stop says that this process has begun a planned stop.
type Stop struct{}

func (Probe) message()      {}
func (ProbeReply) message() {}
func (Roster) message()     {}
func (Version) message()    {}
func (Load) message()       {}
func (Stop) message()       {}
func (Aggregate) message()  {}

// Effect is what a Tracker asks its owner to do.
type Effect interface{ effect() }

// SendProbe asks for a probe to be sent to a VM.
type SendProbe struct {
	To    string
	Probe Probe
}

// SendReply asks for a reply to be sent to a VM.
type SendReply struct {
	To    string
	Reply ProbeReply
}

// SendAggregate asks for this availability zone's aggregate to be sent to a VM of another one.
type SendAggregate struct {
	To        string
	Aggregate Aggregate
}

// StateChanged reports a change of what is believed of a member.
type StateChanged struct {
	Member Update
	Before State
	After  State
}

func (SendProbe) effect()     {}
func (SendReply) effect()     {}
func (SendAggregate) effect() {}
func (StateChanged) effect()  {}
