package coordinator

import (
	"fmt"

	"github.com/rotisserie/eris"
)

// Kind classifies an error of this package.
type Kind string

// Kinds of errors.
const (
	// KindStart means that the process cannot start or continue.
	KindStart Kind = "start"
	// KindUndecided means that the outcome is unknown; the command may still take effect.
	KindUndecided Kind = "undecided"
	// KindNotMember means that this process has not joined the consensus group yet.
	KindNotMember Kind = "not-member"
	// KindWithdrawn means that the sender of an order no longer waits; the order has no effect.
	KindWithdrawn Kind = "withdrawn"
	// KindInvalid means that the document is too large or cannot be read back.
	KindInvalid Kind = "invalid"
)

// Error is the error type of this package, with the operation, the kind and the cause.
type Error struct {
	Op    string
	Kind  Kind
	cause error
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
