package session

import "fmt"

// Kind classifies an error of this package.
type Kind string

// Kinds of errors.
const (
	KindDirectory Kind = "directory"
	KindTransport Kind = "transport"
	KindProblem   Kind = "problem"
	KindResponse  Kind = "answer"
	KindTimeout   Kind = "timeout"
)

// Error is the error of this package: the operation, the kind, the problem document of a KindProblem, and the cause.
type Error struct {
	Op      string
	Kind    Kind
	Problem Problem
	cause   error
}

// Error returns the operation and the problem, or the operation, the kind and the cause, as text.
func (e *Error) Error() string {
	if e.Kind == KindProblem {
		return fmt.Sprintf("%s: %s (status %d, outcome %s, request %s)", e.Op, e.Problem.Type, e.Problem.Status, e.Problem.Outcome, e.Problem.RequestID)
	}
	return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.cause
}
