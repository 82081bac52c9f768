package conductor

import (
	"fmt"

	"github.com/rotisserie/eris"
)

// Kind classifies an error of this package.
type Kind string

// Kinds of errors.
const (
	// KindListen means that an address cannot be served.
	KindListen Kind = "listen"
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
