package conductor

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func sourceAt(port uint16, revision uint64) source {
	return source{coordinator: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port), revision: revision, confirmed: true}
}

// Guards against a VM that waits for a coordinator that has stopped, and against more fetches than its link carries.
func TestFetchesInProgressAreLimited(t *testing.T) {
	var f fetches
	now := time.Now()
	none := func() {}
	first := f.start(now, sourceAt(1, 5), none)
	assert.Assert(t, first != nil)
	assert.Assert(t, f.start(now.Add(secondFetchDelay/2), sourceAt(2, 5), none) == nil, "the first one has just started")
	later := now.Add(secondFetchDelay)
	assert.Assert(t, f.start(later, sourceAt(1, 6), none) == nil, "the same coordinator is asked already")
	second := f.start(later, sourceAt(2, 5), none)
	assert.Assert(t, second != nil)
	assert.Assert(t, f.start(later.Add(time.Minute), sourceAt(3, 5), none) == nil, "two are in progress")
	f.end(first)
	assert.Assert(t, f.start(later.Add(time.Minute), sourceAt(3, 5), none) != nil)
}

// Guards against a transfer that goes on although its revision is in force.
func TestSupersededFetchesAreCancelled(t *testing.T) {
	var f fetches
	now := time.Now()
	older, cancelOlder := context.WithCancel(t.Context())
	newer, cancelNewer := context.WithCancel(t.Context())
	defer cancelNewer()
	assert.Assert(t, f.start(now, sourceAt(1, 5), cancelOlder) != nil)
	assert.Assert(t, f.start(now.Add(secondFetchDelay), sourceAt(2, 6), cancelNewer) != nil)
	f.cancelUpTo(5)
	assert.Assert(t, older.Err() != nil)
	assert.NilError(t, newer.Err())
}
