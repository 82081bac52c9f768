package faults

import (
	"testing"

	"sequoiaspread.example/loadtool/harness"
	"sequoiaspread.example/loadtool/relay"
)

// TestMatrix injects one fault into a small deployment of real processes in each subtest.
func TestMatrix(t *testing.T) {
	t.Run("at-most-once/send/kill", bookingGatewayKilled)
	t.Run("at-most-once/reply/hang-and-resume", bookingGatewayPaused)
	t.Run("at-most-once/send/late-message", bookingCallDelayed)
	t.Run("at-most-once/begin/hang-and-resume", bookingControllerPaused)
	t.Run("at-most-once/begin/restart", bookingControllerKilled)
	t.Run("configuration/promote/two-at-once", concurrentPromotions)
	t.Run("configuration/promote/kill", promotionControllerKilled)
	t.Run("configuration/enforce/hang-and-resume", gatewayPausedDuringPromotion)
	t.Run("configuration/start/disk-lost", controllerLostDisk)
	t.Run("cut-off/booking/cut", regionPartitioned((*relay.Relay).Block))
	t.Run("cut-off/booking/one-way-cut", regionPartitioned((*relay.Relay).BlockForward))
	t.Run("silent-connection/upstream/silent-connection", stalledConnections(harness.ProgramRunner))
	t.Run("silent-connection/controller/silent-connection", stalledConnections(harness.ProgramController))
	t.Run("crashing-request/resend/kill", crashingRequest)
}
