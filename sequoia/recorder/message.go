package recorder

// Message is an input of Step: Call, Install, Retire, Leave, or a message of another member (Copy, Ack, Join, Depart).
type Message interface {
	isMessage()
}

// PeerMessage is a message between members of a record group.
type PeerMessage interface {
	Message
	isPeerMessage()
}

// Call is a request of a gateway; the reply carries the same token.
type Call struct {
	Token   uint64
	Request Request
}

// Install tells the member of the view that the agreement holds; number 0 means that there is none yet.
type Install struct {
	View View
}

// Retire names members that the agreement replaced because their disks were lost.
type Retire struct {
	Members []string
}

// Leave tells the member that its process is about to stop, so that another one takes over without waiting for silence.
type Shutdown struct{}

// Copy carries the entries with a sequence number above After, up to Through, from the primary to another member.
type Replicate struct {
	View     View    `json:"view"`
	From     string  `json:"from"`
	To       string  `json:"to"`
	Term     uint64  `json:"reign"` // number of the view in which the primary took over
	After    uint64  `json:"after"`
	Through  uint64  `json:"through"`
	Round    uint64  `json:"round"`
	Complete bool    `json:"complete,omitempty"` // every permit up to and after Through waits for this member
	Entries  []Entry `json:"entries,omitempty"`
}

// Ack tells the primary how far a member has synced its entries.
type Ack struct {
	View     uint64 `json:"view"`
	From     string `json:"from"`
	To       string `json:"to"`
	Term     uint64 `json:"reign"`
	Applied  uint64 `json:"applied"`
	Round    uint64 `json:"round"`
	Gap      bool   `json:"gap,omitempty"` // the Copy started above Applied and was not applied
	Complete bool   `json:"complete,omitempty"`
}

// Join asks the members of the view to copy all records to a member that is outside of it.
type Join struct {
	From string `json:"from"`
	To   string `json:"to"`
}

// Depart tells that its sender is about to stop: a primary removes it from the view, a member takes over from it.
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
