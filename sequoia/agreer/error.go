package agreer

import (
	"fmt"

	"github.com/rotisserie/eris"
)

// Kind classifies an error of this package.
type Kind string

// Kinds of errors.
const (
	// KindDisk means that the durable state could not be read or written.
	KindDisk Kind = "disk"
	// KindConsensus means that the replicated state is corrupt or could not be processed.
	KindConsensus Kind = "agreement"
	// KindNotLeader means that no leader accepted the command; it did not take effect.
	KindNotLeader Kind = "not-leader"
	// KindUndecided means that the command may still take effect.
	KindUndecided Kind = "undecided"
	// KindUnreachable means that the leader could not be reached.
	KindUnreachable Kind = "unreachable"
	// KindStopped means that this member is stopping.
	KindStopped Kind = "stopped"
	// KindRefused means that the command or change is not allowed.
	KindRefused Kind = "refused"
)

// Error is the error of this package: the operation, the kind and the cause.
type Error struct {
	Op    string
	Kind  Kind
	cause error
}

func newProposeError(kind Kind, cause string) *Error {
	return &Error{Op: "propose", Kind: kind, cause: eris.New(cause)}
}

func wrapError(op string, kind Kind, cause error) *Error {
	return &Error{Op: op, Kind: kind, cause: eris.Wrap(cause, op)}
}

// Error describes the operation, the kind and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.cause
}
