package main

import (
	"fmt"

	"github.com/rotisserie/eris"
)

// kind classifies an error of this program.
type kind string

const (
	kindSettings    kind = "settings"
	kindInvalid     kind = "invalid-document"
	kindRefused     kind = "refused"
	kindUnknown     kind = "outcome-unknown"
	kindUnreachable kind = "unreachable"
	kindReply       kind = "reply"
	kindOutput      kind = "output"
)

func (k kind) exitCode() int {
	switch k {
	case kindSettings:
		return exitUsage
	case kindInvalid:
		return exitInvalid
	case kindRefused:
		return exitRefused
	case kindUnknown:
		return exitUnknown
	case kindUnreachable:
		return exitUnreachable
	default:
		return exitFailed
	}
}

// ctlError is the error of this program: the operation, the kind and the cause.
type ctlError struct {
	op    string
	kind  kind
	cause error
}

// Error describes the operation and the cause.
func (e *ctlError) Error() string {
	return fmt.Sprintf("%s: %s: %v", e.op, e.kind, e.cause)
}

// Unwrap returns the cause.
func (e *ctlError) Unwrap() error {
	return e.cause
}

func newError(op string, k kind, message string) *ctlError {
	return &ctlError{op: op, kind: k, cause: eris.New(message)}
}

func wrapError(op string, k kind, err error) *ctlError {
	return &ctlError{op: op, kind: k, cause: eris.Wrap(err, op)}
}
