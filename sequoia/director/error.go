package director

import (
	"fmt"

	"github.com/rotisserie/eris"
)

// Kind classifies an error of this package.
type Kind string

// Kinds of errors.
const (
	// KindInvalid means that the document contradicts itself and must not be applied.
	KindInvalid Kind = "invalid"
)

// Error holds the operation, the kind and the cause of an error of this package.
type Error struct {
	Op    string
	Kind  Kind
	cause error
}

func invalid(format string, args ...any) *Error {
	return &Error{Op: "check document", Kind: KindInvalid, cause: eris.Errorf(format, args...)}
}

// Error returns the operation, the kind and the cause as text.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.cause
}
