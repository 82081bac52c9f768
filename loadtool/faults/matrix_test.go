package faults

import (
	"testing"

	"sequoiaspread.example/loadtool/harness"
	"sequoiaspread.example/loadtool/relay"
)

// TestMatrix runs one fault on a small deployment of real processes in each subtest.
func TestMatrix(t *testing.T) {
	t.Run("at-most-once/send/kill", bookingGatewayKilled)
	t.Run("at-most-once/reply/hang-and-resume", bookingGatewayPaused)
	t.Run("at-most-once/send/late-message", bookingCallLate)
	t.Run("at-most-once/begin/hang-and-resume", bookingControllerPaused)
	t.Run("at-most-once/begin/restart", bookingControllerKilled)
	t.Run("configuration/promote/two-at-once", operatorsRace)
	t.Run("configuration/promote/kill", promotionControllerKilled)
	t.Run("configuration/enforce/hang-and-resume", gatewayPausedDuringPromotion)
	t.Run("configuration/start/disk-lost", controllerLostDisk)
	t.Run("cut-off/booking/cut", regionCut((*relay.Relay).Cut))
	t.Run("cut-off/booking/one-way-cut", regionCut((*relay.Relay).CutForward))
	t.Run("silent-connection/upstream/silent-connection", connectionsSilent(harness.ProgramRunner))
	t.Run("silent-connection/controller/silent-connection", connectionsSilent(harness.ProgramController))
	t.Run("crashing-request/resend/kill", crashingRequest)
}
