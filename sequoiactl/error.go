package main

import (
	"fmt"

	"github.com/rotisserie/eris"
)

// errorKind classifies the errors of this program; it determines the exit code.
type errorKind string

const (
	kindSettings    errorKind = "settings"
	kindInvalid     errorKind = "invalid-document"
	kindRefused     errorKind = "refused"
	kindUnknown     errorKind = "outcome-unknown"
	kindUnreachable errorKind = "unreachable"
	kindReply       errorKind = "reply"
	kindOutput      errorKind = "output"
)

func (k errorKind) exitCode() int {
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

// ctlError is the error type of this program: the failed operation, its kind and its cause.
type ctlError struct {
	op    string
	kind  errorKind
	cause error
}

// Error returns the operation, the kind and the cause, separated by colons.
func (e *ctlError) Error() string {
	return fmt.Sprintf("%s: %s: %v", e.op, e.kind, e.cause)
}

// Unwrap returns the cause.
func (e *ctlError) Unwrap() error {
	return e.cause
}

func newError(op string, k errorKind, message string) *ctlError {
	return &ctlError{op: op, kind: k, cause: eris.New(message)}
}

func wrapError(op string, k errorKind, err error) *ctlError {
	return &ctlError{op: op, kind: k, cause: eris.Wrap(err, op)}
}
