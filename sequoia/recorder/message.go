package recorder

// Message is an input of Step: Call, Install, Retire, Shutdown, or a PeerMessage (Replicate, Ack, Join, Depart).
type Message interface {
	isMessage()
}

// PeerMessage is a message between members of a record group.
type PeerMessage interface {
	Message
	isPeerMessage()
}

// Call is a request of a gateway. The Respond effect carries the same token.
type Call struct {
	Token   uint64
	Request Request
}

// Install carries the view that the consensus group agreed on. Number 0 means that none is agreed yet.
type Install struct {
	View View
}

// Retire names members that were replaced because their disks were lost.
type Retire struct {
	Members []string
}

// Shutdown says that the member's process is about to stop, so that another member takes over without waiting for the
// heartbeat timeout.
type Shutdown struct{}

// Replicate carries the entries with sequence numbers above After, up to and including Through, from the primary to
// another member. Without entries it is a heartbeat.
type Replicate struct {
	View    View   `json:"view"`
	From    string `json:"from"`
	To      string `json:"to"`
	Term    uint64 `json:"reign"` // number of the view in which the primary took over
	After   uint64 `json:"after"`
	Through uint64 `json:"through"`
	Round   uint64 `json:"round"` // round of view confirmations; the Ack returns it, see replyWhenConfirmed
	// Complete means that the member holds every permit once Through is applied; later permits wait for it.
	Complete bool    `json:"complete,omitempty"`
	Entries  []Entry `json:"entries,omitempty"`
}

// Ack reports to the primary how far a member has synced the entries.
type Ack struct {
	View     uint64 `json:"view"`
	From     string `json:"from"`
	To       string `json:"to"`
	Term     uint64 `json:"reign"`
	Applied  uint64 `json:"applied"`
	Round    uint64 `json:"round"`
	Gap      bool   `json:"gap,omitempty"` // the Replicate message started above Applied and was not applied
	Complete bool   `json:"complete,omitempty"`
}

// Join asks the members of the view to replicate all records to a member outside of it.
type Join struct {
	From string `json:"from"`
	To   string `json:"to"`
}

// Depart says that its sender is about to stop: the primary removes it from the view, another member takes over from
// it.
type Depart struct {
	From string `json:"from"`
	To   string `json:"to"`
}

func (Call) isMessage()      {}
func (Install) isMessage()   {}
func (Retire) isMessage()    {}
func (Shutdown) isMessage()  {}
func (Replicate) isMessage() {}
func (Ack) isMessage()       {}
func (Join) isMessage()      {}
func (Depart) isMessage()    {}

func (Replicate) isPeerMessage() {}
func (Ack) isPeerMessage()       {}
func (Join) isPeerMessage()      {}
func (Depart) isPeerMessage()    {}
