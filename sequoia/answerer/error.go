package answerer

import (
	"fmt"

	"github.com/rotisserie/eris"
)

// Kind classifies an error of this package.
type Kind string

// Kinds of errors.
const (
	// KindBroken means that a response is truncated or does not come from an upstream.
	KindBroken Kind = "broken"
	// KindTooLarge means that a response or event exceeds its size limit.
	KindTooLarge Kind = "too-large"
	// KindReplaced means that another process than the one addressed sent the response.
	KindReplaced Kind = "replaced"
	// KindNoMemory means that a response or event does not fit into the memory that is left for it.
	KindNoMemory Kind = "no-memory"
	// KindLimited means that an upstream takes no more requests at the moment.
	KindLimited Kind = "limited"
)

// Error holds the operation, the kind and the cause of an error of this package.
type Error struct {
	Op    string
	Kind  Kind
	cause error
}

func newError(op string, kind Kind, cause string) *Error {
	return &Error{Op: op, Kind: kind, cause: eris.New(cause)}
}

func wrapError(op string, kind Kind, cause error) *Error {
	return &Error{Op: op, Kind: kind, cause: eris.Wrap(cause, op)}
}

// Error returns the operation, the kind and the cause as text.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.cause
}
