package pinner

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var coordinators = []netip.AddrPort{
	netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.1:2"), netip.MustParseAddrPort("127.0.0.1:3"),
}

// Guards against a version that begins streams while a VM may still take another for the only one, and against one that
// never may.
func TestVersionIsEstablishedByAMajority(t *testing.T) {
	told := map[string][]string{"s": {"v1"}}
	reply := Reply{ReceivedAt: start, Told: told}
	c := NewConfirmations()
	c.List(start, told)
	assert.Equal(t, len(c.Established(coordinators)), 0)
	c.Record(coordinators[0], reply)
	assert.Equal(t, len(c.Established(coordinators)), 0, "one of three")
	reply.Pending = map[string]map[string]time.Duration{"s": {"v1": 0}}
	c.Record(coordinators[1], reply)
	assert.Equal(t, len(c.Established(coordinators)), 0, "not on the disk of the second")
	reply.Pending = map[string]map[string]time.Duration{"s": {"v1": time.Second}}
	c.Record(coordinators[1], reply)
	assert.DeepEqual(t, c.Established(coordinators), map[string]map[string]time.Time{"s": {"v1": start.Add(time.Second)}})
	c.Forget(coordinators[1])
	assert.Equal(t, len(c.Established(coordinators)), 0, "the second has restarted")
	reply.Pending = nil
	c.Record(coordinators[2], reply)
	assert.Equal(t, len(c.Established(coordinators)), 1)
	c.List(start.Add(listedMemory), nil)
	assert.Equal(t, len(c.Established(coordinators)), 1, "its upstreams may come back")
	c.List(start.Add(listedMemory+time.Second), nil)
	assert.Equal(t, len(c.Established(coordinators)), 0, "the coordinators may have forgotten it")
}
