package recordserver

import (
	"fmt"

	"github.com/rotisserie/eris"
)

// Kind classifies an error of this package.
type Kind string

// Kinds of errors.
const (
	KindCall    Kind = "call"    // the cause is a *messenger.Error
	KindStopped Kind = "stopped" // the member stopped before it could reply
)

// Error is the error type of this package, with the operation, the kind and the cause.
type Error struct {
	Op    string
	Kind  Kind
	cause error
}

func newError(op string, kind Kind, cause error) *Error {
	return &Error{Op: op, Kind: kind, cause: eris.Wrap(cause, op)}
}

// Error returns the operation, the kind and the cause as one line.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.cause
}
