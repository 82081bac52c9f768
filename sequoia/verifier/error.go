package verifier

import (
	"errors"
	"fmt"

	"github.com/rotisserie/eris"
)

// Kind classifies an error of this package by what is broken.
type Kind string

// Kinds of errors.
const (
	// KindInvalidStatus means that the status code is outside the range of the protocol, or switches to another one.
	KindInvalidStatus Kind = "invalid-status"
	// KindInvalidField means that the name of a field is no token.
	KindInvalidField Kind = "invalid-field"
	// KindHeadTooLarge means that the informational responses before a response exceed the size limit of a head.
	KindHeadTooLarge Kind = "head-too-large"
	// KindBodyTooLarge means that a body exceeds the limit of its reader.
	KindBodyTooLarge Kind = "body-too-large"
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

// Error returns the operation, the kind and the cause as text.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.cause
}

// IsKind reports whether an error is one of this package and of a kind.
func IsKind(err error, kind Kind) bool {
	var failure *Error
	return errors.As(err, &failure) && failure.Kind == kind
}
