package session

import "fmt"

// Kind classifies an error of this package.
type Kind string

// Kinds of errors.
const (
	KindDirectory Kind = "directory"
	KindTransport Kind = "transport"
	KindProblem   Kind = "problem"
	KindAnswer    Kind = "answer"
	KindTimeout   Kind = "timeout"
)

// Error is the error of this package: the operation, the kind, the problem document if there was one, and the cause.
type Error struct {
	Op      string
	Kind    Kind
	Problem Problem
	cause   error
}

// Error describes the operation and the cause.
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
