package restrictor

import "fmt"

// Kind classifies an error of this package.
type Kind string

// Kinds of errors.
const (
	// KindRefused is a send that a residency rule or the caller's narrowing forbids.
	KindRefused Kind = "refused"
	// KindUnknown is a send for an organisation or service that the document does not declare.
	KindUnknown Kind = "unknown"
)

// Error is the error of this package: the operation and the kind.
type Error struct {
	Op   string
	Kind Kind
}

// Error describes the operation and the kind.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s by residency", e.Op, e.Kind)
}
