package classifier

// FailedCall describes a failed call to an upstream or to another availability zone.
type FailedCall struct {
	// Written is set once the first byte of the request has been written to the connection.
	Written bool
	// Refused is set if the upstream signalled through the protocol that it did not run the request.
	Refused bool
	// Responded is set if the response headers were received.
	Responded bool
	// ErrorStatus is set if the response has an error status.
	ErrorStatus bool
	// Delivered is set if a part of the response was sent to the caller.
	Delivered bool
	// Inactive is set if the call was aborted because no byte was received within the idle timeout.
	Inactive bool
	// TimedOut is set if the time limit of the service expired.
	TimedOut bool
	// CallerCancelled is set if the caller closed its connection.
	CallerCancelled bool
	// ResidencyWithdrawn is set if a new residency rule no longer allows the location of the call.
	ResidencyWithdrawn bool
}

// CauseOf returns the cause of a failed call. Once a byte was written, the request counts as not run only if the
// upstream refused it.
func CauseOf(call FailedCall) Cause {
	switch {
	case call.Refused:
		return CauseUpstreamRefused
	case call.ResidencyWithdrawn && !call.Written:
		return CauseResidency
	case call.ResidencyWithdrawn:
		return CauseResidencyWithdrawn
	case call.CallerCancelled && !call.Written:
		return CauseCancelledBeforeSend
	case call.CallerCancelled:
		return CauseCancelledAfterSend
	case !call.Written:
		return CauseConnectFailed
	case call.ErrorStatus:
		return CauseUpstreamFailed
	case call.Delivered:
		return CauseStreamInterrupted
	case call.Responded:
		return CauseAnswerTruncated
	case call.Inactive:
		return CauseSilentConnection
	case call.TimedOut:
		return CauseResponseTimeout
	default:
		return CauseNoResponse
	}
}
