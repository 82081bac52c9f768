package forwarder

import (
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// Kind classifies an error of this package by what may have happened to the request.
type Kind string

// Kinds of errors.
const (
	// KindNotSent means that no byte of the request left this process.
	KindNotSent Kind = "not-sent"
	// KindLost means that the request may have been received, but no complete response arrived.
	KindLost Kind = "lost"
	// KindMismatchedResponse means that the received bytes are no response to this request, which may have been
	// received.
	KindMismatchedResponse Kind = "foreign"
)

// Error holds the operation, the kind and the cause of an error of this package.
type Error struct {
	Op   string
	Kind Kind
	// WorkedAt is when the connection worked last before the request; zero if none was established.
	WorkedAt time.Time
	cause    error
}

func wrapError(op string, kind Kind, cause error) *Error {
	return &Error{Op: op, Kind: kind, cause: eris.Wrap(cause, op)}
}

// Error returns the operation, the kind and the cause as text.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.cause
}

// PeerAnswered reports whether a connection was not established because the machine refused or reset it, as when its
// process has ended or is ending.
func PeerAnswered(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
}

// PeerSilent reports whether a connection was not established because nothing answered.
func PeerSilent(err error) bool {
	var network net.Error
	return errors.As(err, &network) && network.Timeout() || errors.Is(err, syscall.EHOSTUNREACH) || errors.Is(err, syscall.ENETUNREACH)
}
