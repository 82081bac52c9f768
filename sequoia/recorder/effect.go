package recorder

// Effect is an action that Step and Tick request: Persist, Send, Respond or Propose.
type Effect interface {
	isEffect()
}

// Persist writes the member's state; it must be synced before the other effects of the same step are performed.
type Persist struct {
	Clear   bool     // remove all stored entries first
	Entries []Entry  // to write, keyed by Entry.ID
	Removed []string // ids of the entries to remove
	Meta    Meta
}

// Send sends a message to another member. It may be lost, delayed, duplicated or reordered.
type Send struct {
	To      string
	Message PeerMessage
}

// Respond sends the reply to the Call with the same token.
type Respond struct {
	Token uint64
	Reply Reply
}

// Propose proposes a view to the consensus group, to follow view View.Number - 1. LostMembers is set when the view
// starts a new epoch because all members of the previous view lost their records.
type Propose struct {
	View        View
	LostMembers []string
}

func (Persist) isEffect() {}
func (Send) isEffect()    {}
func (Respond) isEffect() {}
func (Propose) isEffect() {}

// outbox collects the effects of one step, so that the write comes before all others.
type outbox struct {
	dirty   bool
	persist Persist
	effects []Effect
}

func (o *outbox) add(effect Effect) {
	o.effects = append(o.effects, effect)
}

func (o *outbox) take(meta Meta) []Effect {
	effects := o.effects
	if o.dirty {
		o.persist.Meta = meta
		effects = append([]Effect{o.persist}, effects...)
	}
	*o = outbox{}
	return effects
}
