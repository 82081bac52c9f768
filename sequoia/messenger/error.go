package messenger

import (
	"fmt"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/jsonrpc2"
)

// Kind classifies an error of a call by what the caller may conclude from it.
type Kind string

// Kinds of errors.
const (
	// KindNotSent means that no byte of the request left this process.
	KindNotSent Kind = "not-sent"
	// KindLost means that the request may have been received, but no reply came.
	KindLost Kind = "lost"
	// KindRemote means that the peer replied with an error.
	KindRemote Kind = "remote"
	// KindListen means that the server could not listen or accept.
	KindListen Kind = "listen"
)

// Error codes of JSON-RPC that handlers use.
const (
	CodeMethodNotFound = int64(jsonrpc2.CodeMethodNotFound)
	CodeInvalidParams  = int64(jsonrpc2.CodeInvalidParams)
	CodeInternal       = int64(jsonrpc2.CodeInternalError)
	// CodeStopping is in the range that JSON-RPC leaves to servers; the call was not handled.
	CodeStopping = int64(-32000)
)

// Error is the error of this package: the operation, the kind and, for KindRemote, the peer's code and message.
type Error struct {
	Op      string
	Kind    Kind
	Code    int64
	Message string
	cause   error
}

// Error describes the operation and the cause.
func (e *Error) Error() string {
	if e.Kind == KindRemote {
		return fmt.Sprintf("%s: %s: code %d: %s", e.Op, e.Kind, e.Code, e.Message)
	}
	return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.cause
}

func newError(op string, kind Kind, cause error) *Error {
	return &Error{Op: op, Kind: kind, cause: eris.Wrap(cause, op)}
}

// RemoteError lets a handler choose the code and message of an error reply.
type RemoteError struct {
	Code    int64
	Message string
}

// Error describes the code and message.
func (e *RemoteError) Error() string {
	return fmt.Sprintf("code %d: %s", e.Code, e.Message)
}
