package main

import (
	"errors"
	"fmt"
	"time"

	"github.com/rotisserie/eris"
	"sequoiaspread.example/sequoia/classifier"
)

// failure is the error of this program: the operation, the kind (a cause of the classifier) and the cause.
type failure struct {
	op         string
	kind       classifier.Cause
	retryAfter time.Duration
	detail     string
	// relayed is set when another gateway has already classified the failure.
	forwardedOutcome *classifier.Outcome
	// final is set when another attempt cannot help.
	final bool
	cause error
}

func newFailure(op string, kind classifier.Cause, cause error) *failure {
	return &failure{op: op, kind: kind, cause: cause}
}

func newRefusal(op string, kind classifier.Cause, detail string) *failure {
	return &failure{op: op, kind: kind, detail: detail, cause: eris.New(string(kind))}
}

// Error describes the operation, the kind and the cause.
func (f *failure) Error() string {
	return fmt.Sprintf("%s: %s: %v", f.op, f.kind, f.cause)
}

// Unwrap returns the cause.
func (f *failure) Unwrap() error {
	return f.cause
}

// outcome returns what the caller may conclude.
func (f *failure) outcome(keyStatus classifier.KeyStatus) classifier.Outcome {
	if f.forwardedOutcome == nil {
		return classifier.Lookup(f.kind).OutcomeFor(keyStatus)
	}
	return *f.forwardedOutcome
}

// asFailure returns the failure in an error's chain, or an internal one.
func asFailure(err error) *failure {
	var known *failure
	if errors.As(err, &known) {
		return known
	}
	return newFailure("serve request", classifier.CauseInternal, err)
}
