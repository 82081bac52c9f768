package listener

import "fmt"

// Kind classifies an error of this package.
type Kind string

// Kinds of errors.
const (
	KindListen Kind = "listen"
	KindServe  Kind = "serve"
	KindStop   Kind = "stop"
)

// Error holds the operation, the kind and the cause of an error of this package.
type Error struct {
	Op    string
	Kind  Kind
	cause error
}

// Error returns the operation, the kind and the cause as text.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.cause
}
