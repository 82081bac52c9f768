package recorder

// Effect is an output of Step and Tick: Persist, Send, Respond or Propose.
type Effect interface {
	isEffect()
}

// Persist must be synced before the other effects of the same step are performed.
type Persist struct {
	Clear   bool     // remove all entries first
	Entries []Entry  // write by Entry.ID
	Removed []string // remove by Entry.ID
	Meta    Meta
}

// Send passes a message to another member; it may be lost, delayed, repeated or reordered.
type Send struct {
	To      string
	Message PeerMessage
}

// Respond answers the Call with the token.
type Respond struct {
	Token uint64
	Reply Reply
}

// Propose asks the agreement for a view that follows View.Number - 1. Lost is set when the view starts a new epoch,
// because all members of the previous view lost their records.
type Propose struct {
	View        View
	LostMembers []string
}

func (Persist) isEffect() {}
func (Send) isEffect()    {}
func (Respond) isEffect() {}
func (Propose) isEffect() {}

// outbox gathers the effects of one step, so that the writes come before all others.
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
