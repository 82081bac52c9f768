package main

import (
	"errors"
	"fmt"
	"time"

	"github.com/rotisserie/eris"
	"sequoiaspread.example/sequoia/classifier"
)

// failure is the error type of this program: the operation, the kind (a cause of the classifier) and the underlying
// error.
type failure struct {
	op         string
	kind       classifier.Cause
	retryAfter time.Duration
	detail     string
	// forwardedOutcome is set if another gateway has already classified the failure.
	forwardedOutcome *classifier.Outcome
	// final is set if another attempt cannot succeed.
	final bool
	cause error
}

func newFailure(op string, kind classifier.Cause, cause error) *failure {
	return &failure{op: op, kind: kind, cause: cause}
}

func newRefusal(op string, kind classifier.Cause, detail string) *failure {
	return &failure{op: op, kind: kind, detail: detail, cause: eris.New(string(kind))}
}

// Error describes the operation, the kind and the underlying error.
func (f *failure) Error() string {
	return fmt.Sprintf("%s: %s: %v", f.op, f.kind, f.cause)
}

// Unwrap returns the underlying error.
func (f *failure) Unwrap() error {
	return f.cause
}

// outcome returns what the caller can conclude about the execution of the request.
func (f *failure) outcome(keyStatus classifier.KeyStatus) classifier.Outcome {
	if f.forwardedOutcome == nil {
		return classifier.Lookup(f.kind).OutcomeFor(keyStatus)
	}
	return *f.forwardedOutcome
}

// asFailure returns the failure in the chain of an error, or wraps the error as an internal failure.
func asFailure(err error) *failure {
	var f *failure
	if errors.As(err, &f) {
		return f
	}
	return newFailure("serve request", classifier.CauseInternal, err)
}
