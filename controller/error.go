package main

import (
	"fmt"

	"github.com/rotisserie/eris"
)

// errorKind classifies the errors of the controller.
type errorKind string

const (
	kindSettings    errorKind = "settings"
	kindDisk        errorKind = "disk"
	kindConsensus   errorKind = "agreement"
	kindNotLeader   errorKind = "not-leader"
	kindUndecided   errorKind = "undecided"
	kindUnreachable errorKind = "unreachable"
	kindStopped     errorKind = "stopped"
	kindDocument    errorKind = "document"
	kindRefused     errorKind = "refused"
)

// controllerError is the error type of the controller: the failed operation, its kind and its cause.
type controllerError struct {
	op    string
	kind  errorKind
	cause error
}

func newError(op string, kind errorKind, cause string) *controllerError {
	return &controllerError{op: op, kind: kind, cause: eris.New(cause)}
}

func wrapError(op string, kind errorKind, cause error) *controllerError {
	return &controllerError{op: op, kind: kind, cause: eris.Wrap(cause, op)}
}

// Error returns the operation, the kind and the cause, separated by colons.
func (e *controllerError) Error() string {
	return fmt.Sprintf("%s: %s: %v", e.op, e.kind, e.cause)
}

// Unwrap returns the cause.
func (e *controllerError) Unwrap() error {
	return e.cause
}
