package relay

import "fmt"

// Kind classifies an error of this package.
type Kind string

// KindListen is the kind of an error from opening the listening socket.
const KindListen Kind = "listen"

// Error is the error of this package: the operation, the kind and the cause.
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
