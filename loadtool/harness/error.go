package harness

import (
	"fmt"

	"github.com/rotisserie/eris"
)

// Kind classifies an error of this package.
type Kind string

// Kinds of errors.
const (
	KindFile    Kind = "file"
	KindNetwork Kind = "network"
	KindProcess Kind = "process"
	KindTimeout Kind = "timeout"
)

// Error is the error of this package: the operation, the kind and the cause.
type Error struct {
	Op    string
	Kind  Kind
	cause error
}

func wrapError(op string, kind Kind, cause error) error {
	if cause == nil {
		return nil
	}
	return &Error{Op: op, Kind: kind, cause: eris.Wrap(cause, op)}
}

// Error returns the operation, the kind and the cause as text.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, eris.Cause(e.cause))
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.cause
}
