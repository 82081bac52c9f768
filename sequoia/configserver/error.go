package configserver

import (
	"fmt"

	"github.com/rotisserie/eris"
)

// Kind classifies an error of this package.
type Kind string

// Kinds of errors.
const (
	// KindUnreachable means that no controller responded without an error; a request may have taken effect.
	KindUnreachable Kind = "unreachable"
	// KindRefused means that a controller rejected the parameters of the request.
	KindRefused Kind = "refused"
)

// Error is the error of this package: the operation, the kind and the cause.
type Error struct {
	Op    string
	Kind  Kind
	cause error
}

func newError(op string, kind Kind, cause error) *Error {
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
