package dispatcher

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against load that stays counted when a part of it is replaced, when the number of parts changes, or when its VM
// falls silent.
func TestPartsOfPeerLoad(t *testing.T) {
	d := newDispatcher(newUpstream("a"))
	even, odd := LoadPart{0, 2}, LoadPart{1, 2}
	d.UpdatePeerPart(start, "peer", even, map[UpstreamKey]Sent{2: {Requests: 3}})
	d.UpdatePeerPart(start, "peer", odd, map[UpstreamKey]Sent{1: {Requests: 4}})
	assert.Equal(t, d.peerTotals[2].Requests, 3)
	d.UpdatePeerPart(start, "peer", even, map[UpstreamKey]Sent{2: {Requests: 5}})
	assert.Equal(t, d.peerTotals[2].Requests, 5)
	assert.Equal(t, d.peerTotals[1].Requests, 4)
	d.UpdatePeer(start, "peer", map[UpstreamKey]Sent{1: {Requests: 1}})
	assert.Equal(t, d.peerTotals[1].Requests, 1)
	assert.Equal(t, d.peerTotals[2].Requests, 0)
	d.UpdatePeerPart(start, "peer", even, map[UpstreamKey]Sent{2: {Requests: 5}})
	d.dropStalePeers(start.Add(peerTimeout + time.Millisecond))
	assert.Equal(t, len(d.peerTotals), 0)
}

// Guards against a malformed part that ends the process.
func TestInvalidPartsAreIgnored(t *testing.T) {
	d := newDispatcher(newUpstream("a"))
	for _, part := range []LoadPart{{0, 0}, {0, -1}, {-1, 2}, {2, 2}, {0, math.MaxInt}, {math.MinInt, 1}} {
		d.UpdatePeerPart(start, "peer", part, map[UpstreamKey]Sent{1: {Requests: 1}})
	}
	assert.Equal(t, len(d.peers), 0)
}
