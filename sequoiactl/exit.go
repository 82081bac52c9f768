package main

import (
	"errors"

	"sequoiaspread.example/sequoia/parser"
)

// Exit codes of the program.
const (
	exitDone = iota
	// exitFailed is for failures that no other code covers.
	exitFailed
	// exitUsage is for wrong flags or arguments.
	exitUsage
	// exitInvalid is for an invalid document.
	exitInvalid
	// exitRefused is for a request that was processed and refused, such as a version conflict.
	exitRefused
	// exitUnknown is for a request whose outcome is unknown; it should be resent with the same request id.
	exitUnknown
	// exitUnreachable is for a request that reached no process.
	exitUnreachable
)

const exitCodeHelp = `Exit codes: 0 done, 1 failed, 2 wrong usage, 3 document has faults, 4 refused (nothing changed),
5 outcome unknown (resend with the same --request-id), 6 no process reached (nothing changed).`

func exitCode(err error) int {
	var invalid *parser.Error
	var ctlErr *ctlError
	switch {
	case err == nil:
		return exitDone
	case errors.As(err, &invalid):
		return exitInvalid
	case errors.As(err, &ctlErr):
		return ctlErr.kind.exitCode()
	default:
		return exitUsage
	}
}
