package streamer

// Message is an input of a Streamer.
type Message interface{ isMessage() }

// Started means that an attempt was sent to an upstream; it replaces the current attempt.
type Started struct{ Attempt uint64 }

// Chunk is one event of an attempt.
type Chunk struct {
	Attempt uint64
	// ID is the position of the chunk in the answer, counted from 1; 0 means that the upstream does not number its chunks.
	ID   uint64
	Data []byte
}

// Ended means that an attempt sent its end marker.
type Ended struct{ Attempt uint64 }

// Broken means that an attempt ended without its end marker or timed out.
type Broken struct{ Attempt uint64 }

// CallerCancelled means that the caller closed its connection.
type CallerCancelled struct{}

func (Started) isMessage()         {}
func (Chunk) isMessage()           {}
func (Ended) isMessage()           {}
func (Broken) isMessage()          {}
func (CallerCancelled) isMessage() {}

// Effect is an output of a Streamer. Effects are performed in order.
type Effect interface{ isEffect() }

// Deliver sends a chunk to the caller.
type Deliver struct {
	Position uint64
	Data     []byte
}

// Finish ends the answer with the end marker.
type Finish struct{}

// Fail ends the answer with an error event and no end marker.
type Fail struct{ Kind FailKind }

// Cancel cancels the upstream call of an attempt.
type Cancel struct{ Attempt uint64 }

// Restart requests a new attempt from the beginning; no chunk has been delivered yet.
type Restart struct{}

// Resume requests a new attempt that continues after a position.
type Resume struct{ After uint64 }

func (Deliver) isEffect() {}
func (Finish) isEffect()  {}
func (Fail) isEffect()    {}
func (Cancel) isEffect()  {}
func (Restart) isEffect() {}
func (Resume) isEffect()  {}

// FailKind classifies why an answer could not be completed.
type FailKind string

// Kinds of failure.
const (
	// FailTruncated means that the stream was truncated and the upstream cannot resume.
	FailTruncated FailKind = "truncated"
	// FailGap means that the stream skipped a position and the upstream cannot resume.
	FailGap FailKind = "gap"
)
