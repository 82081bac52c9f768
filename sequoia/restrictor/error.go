package restrictor

import "fmt"

// Kind is the kind of an Error.
type Kind string

// Kinds of errors.
const (
	// KindRefused is a send that a residency rule or the caller's own restriction forbids.
	KindRefused Kind = "refused"
	// KindUnknown is a send for an organisation or service that is not declared in the document.
	KindUnknown Kind = "unknown"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
}

// Error returns the operation and the kind as text.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s by residency", e.Op, e.Kind)
}
