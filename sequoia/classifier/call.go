package classifier

// Call states what is known about one failed call to an upstream or to another availability zone.
type FailedCall struct {
	// Written is set from the first byte of the request that was handed to the connection.
	Written bool
	// Refused is set when the upstream stated by protocol that it did not run the request.
	Refused bool
	// Responded is set when the response headers arrived.
	Responded bool
	// Failed is set when the response has an error status.
	ErrorStatus bool
	// Delivered is set when a part of the answer was passed to the caller.
	Delivered bool
	// Silent is set when the call was ended because its connection carried no byte for the stated time.
	Silent bool
	// TimedOut is set when the time limit of the service passed.
	TimedOut bool
	// CallerGone is set when the caller closed its connection.
	CallerGone bool
	// Withdrawn is set when a new residency rule no longer allows the place of the call.
	ResidencyWithdrawn bool
}

// FromCall returns the cause of a failed call; a request of which a byte was written counts as not run only
// when the upstream says so.
func CauseOf(call FailedCall) Cause {
	switch {
	case call.Refused:
		return CauseUpstreamRefused
	case call.ResidencyWithdrawn && !call.Written:
		return CauseResidency
	case call.ResidencyWithdrawn:
		return CauseResidencyWithdrawn
	case call.CallerGone && !call.Written:
		return CauseCancelledBeforeSend
	case call.CallerGone:
		return CauseCancelledAfterSend
	case !call.Written:
		return CauseConnectFailed
	case call.ErrorStatus:
		return CauseUpstreamFailed
	case call.Delivered:
		return CauseStreamInterrupted
	case call.Responded:
		return CauseAnswerTruncated
	case call.Silent:
		return CauseSilentConnection
	case call.TimedOut:
		return CauseResponseTimeout
	default:
		return CauseNoResponse
	}
}
