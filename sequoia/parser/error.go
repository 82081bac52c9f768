package parser

import (
	"fmt"
	"strings"

	"github.com/rotisserie/eris"
)

// Kind classifies an error of this package.
type Kind string

// Kinds of errors.
const (
	KindSyntax  Kind = "syntax"
	KindUnknown Kind = "unknown-key"
	KindValue   Kind = "value"
	KindName    Kind = "name"
	KindRule    Kind = "rule"
	KindInvalid Kind = "invalid-document"
)

// Error is the error type of this package, with the operation, the kind, the cause and, for an invalid document, its
// faults.
type Error struct {
	Op     string
	Kind   Kind
	Faults []Fault
	cause  error
}

func newError(op string, kind Kind, cause string) *Error {
	return &Error{Op: op, Kind: kind, cause: eris.New(cause)}
}

// Error returns the operation, the kind and the cause or, for an invalid document, one line for each fault.
func (e *Error) Error() string {
	if len(e.Faults) == 0 {
		return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.cause)
	}
	lines := make([]string, 0, len(e.Faults))
	for _, fault := range e.Faults {
		lines = append(lines, fault.String())
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.cause
}

// Fault is one fault of a document, with its position and the valid values.
type Fault struct {
	File  string `json:"file"`
	Line  int    `json:"line"`
	Key   string `json:"key"`
	Kind  Kind   `json:"kind"`
	Cause string `json:"cause"`
	Valid string `json:"valid,omitempty"`
}

// String formats the fault as file:line: key: cause (valid: ...).
func (f Fault) String() string {
	text := fmt.Sprintf("%s:%d: %s: %s", f.File, f.Line, f.Key, f.Cause)
	if f.Valid != "" {
		text += " (valid: " + f.Valid + ")"
	}
	return text
}
