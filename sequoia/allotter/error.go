package allotter

import "fmt"

// Kind classifies an error of this package.
type Kind string

// Kinds of errors.
const (
	// KindNoMemory means that a body does not fit into the memory that is left for it.
	KindNoMemory Kind = "no-memory"
	// KindTooLarge means that a body exceeds the limit of one body.
	KindTooLarge Kind = "too-large"
)

// Error is the error of this package: the operation and the kind.
type Error struct {
	Op   string
	Kind Kind
}

// Error describes the operation and the kind.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s", e.Op, e.Kind)
}

func readError(kind Kind) error {
	return &Error{Op: "read body", Kind: kind}
}
