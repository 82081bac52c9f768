package messenger

import (
	"fmt"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/jsonrpc2"
)

// Kind classifies an error of a call by what the caller can conclude from it.
type Kind string

// Kinds of errors.
const (
	// KindNotSent means that no byte of the request left this process.
	KindNotSent Kind = "not-sent"
	// KindLost means that the request may have been received, but no reply arrived.
	KindLost Kind = "lost"
	// KindRemote means that the peer replied with an error.
	KindRemote Kind = "remote"
	// KindListen means that the server could not listen or accept.
	KindListen Kind = "listen"
)

// JSON-RPC error codes used by handlers.
const (
	CodeMethodNotFound = int64(jsonrpc2.CodeMethodNotFound)
	CodeInvalidParams  = int64(jsonrpc2.CodeInvalidParams)
	CodeInternal       = int64(jsonrpc2.CodeInternalError)
	// CodeStopping means that the call was not handled. It is in the range that JSON-RPC reserves for servers.
	CodeStopping = int64(-32000)
)

// Error is the error type of this package, with the operation, the kind and, for KindRemote, the peer's code and
// message.
type Error struct {
	Op      string
	Kind    Kind
	Code    int64
	Message string
	cause   error
}

// Error returns the operation and the kind, with the cause or, for KindRemote, the peer's code and message.
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

// RemoteError is an error of a handler that sets the code and message of the error reply.
type RemoteError struct {
	Code    int64
	Message string
}

// Error returns the code and message as text.
func (e *RemoteError) Error() string {
	return fmt.Sprintf("code %d: %s", e.Code, e.Message)
}
