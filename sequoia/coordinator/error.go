package coordinator

import (
	"fmt"

	"github.com/rotisserie/eris"
)

// Kind classifies an error of this package.
type Kind string

// Kinds of errors.
const (
	// KindStart means that the process cannot start or go on.
	KindStart Kind = "start"
	// KindUndecided means that no outcome is known; the order may still take effect.
	KindUndecided Kind = "undecided"
	// KindNotMember means that this process has not joined the agreement yet.
	KindNotMember Kind = "not-member"
)

// Error is the error of this package: the operation, the kind and the cause.
type Error struct {
	Op    string
	Kind  Kind
	cause error
}

func wrapError(op string, kind Kind, cause error) *Error {
	return &Error{Op: op, Kind: kind, cause: eris.Wrap(cause, op)}
}

// Error describes the operation, the kind and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.cause
}
