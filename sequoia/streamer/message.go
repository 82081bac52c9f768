package streamer

// Message is an input of a streamer.
type Message interface{ isMessage() }

// Started says that an attempt was sent to an upstream; it replaces the current attempt.
type Started struct{ Attempt uint64 }

// Chunk is one event of an attempt.
type Chunk struct {
	Attempt uint64
	// ID is the position of the chunk in the answer, from 1; 0 means that the upstream gives no positions.
	ID   uint64
	Data []byte
}

// Ended says that an attempt sent its end marker.
type Ended struct{ Attempt uint64 }

// Broken says that an attempt ended without its end marker or went silent.
type Broken struct{ Attempt uint64 }

// CallerGone says that the caller closed its connection.
type CallerGone struct{}

func (Started) isMessage()    {}
func (Chunk) isMessage()      {}
func (Ended) isMessage()      {}
func (Broken) isMessage()     {}
func (CallerGone) isMessage() {}

// Effect is an output of a streamer, to be performed in order.
type Effect interface{ isEffect() }

// Deliver passes a chunk to the caller.
type Deliver struct {
	Position uint64
	Data     []byte
}

// Finish ends the answer with the end marker.
type Finish struct{}

// Fail ends the answer with an error event and no end marker.
type Fail struct{ Kind FailKind }

// Cancel ends the upstream call of an attempt.
type Cancel struct{ Attempt uint64 }

// Restart asks for a new attempt from the beginning; nothing was delivered yet.
type Restart struct{}

// Resume asks for a new attempt that continues after a position.
type Resume struct{ After uint64 }

func (Deliver) isEffect() {}
func (Finish) isEffect()  {}
func (Fail) isEffect()    {}
func (Cancel) isEffect()  {}
func (Restart) isEffect() {}
func (Resume) isEffect()  {}

// FailKind says why an answer could not be completed.
type FailKind string

// Kinds of failure.
const (
	// FailTruncated is a stream that broke at an upstream that cannot resume.
	FailTruncated FailKind = "truncated"
	// FailGap is a stream that skipped a position at an upstream that cannot resume.
	FailGap FailKind = "gap"
)
