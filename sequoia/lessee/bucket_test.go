package lessee

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiaspread.example/sequoia/lessor"
)

// Guards against units that are returned to a bucket which has filled meanwhile: they would be admitted twice.
func TestReturnedUnitsDoNotExceedWhatTheBucketLost(t *testing.T) {
	b := bucket{size: size{rate: 10, capacity: 100}, level: 100, filledAt: start}
	assert.Assert(t, b.take(60))
	overflow := b.overflow
	b.fill(start.Add(5 * time.Second))
	b.restore(60, overflow)
	assert.Equal(t, b.level, 100.0, "nothing overflowed while they were out: 90 and 60 fill it")
	b.level, overflow = 40, b.overflow
	b.fill(start.Add(12 * time.Second))
	assert.Equal(t, b.overflow-overflow, 10.0)
	assert.Assert(t, b.take(50))
	b.restore(60, overflow)
	assert.Equal(t, b.level, 100.0)
	b.level = 0
	b.restore(60, overflow-50)
	assert.Equal(t, b.level, 0.0, "all of it overflowed")
}

// Guards against a single request that a VM without a share never serves, and against one that follows while the first is
// not repaid.
func TestRequestMayOverdrawOnce(t *testing.T) {
	l := New(start)
	l.SetLimits(start, map[string]Limit{"o": {Rate: 2_238_608, CountsTokens: true}})
	assert.Assert(t, l.Take(start, "o", 9200).Admitted, "a restarted VM may send one")
	second := l.Take(start, "o", 800)
	assert.Assert(t, !second.Admitted)
	assert.Assert(t, l.Take(start.Add(second.RetryAfter), "o", 800).Admitted, "the delay was %v", second.RetryAfter)
	l.SetLimits(start, map[string]Limit{"o": {Rate: 2, Burst: 1}})
	assert.Assert(t, l.Take(start, "other", 1).Admitted, "no limit")
}

// Guards against a lease that a VM without demand renews for ever, and against one that is not released.
func TestLeaseEndsWithItsDemand(t *testing.T) {
	l := New(start)
	assert.Assert(t, l.Report(start) == nil)
	l.SetLimits(start, map[string]Limit{"o": {Rate: 1000, CountsTokens: true}})
	l.Take(start, "o", 500)
	report := l.Report(start)
	assert.DeepEqual(t, report, &lessor.Report{Organisations: []string{"o"}, Demands: []int64{625}})
	l.Apply(start, start, report, lessor.Grant{Term: 2, Sequence: 7, Fleet: 4, Shares: []int64{lessor.Scale}})
	assert.Equal(t, l.Share(start, "o"), 1.0)
	idle := start.Add(2 * idleTime)
	assert.Equal(t, l.Share(idle, "o"), 0.0)
	assert.Equal(t, l.LeaseChange(idle), LeaseLost)
	assert.Equal(t, l.LeaseChange(idle), LeaseUnchanged)
	assert.Assert(t, l.Report(idle) == nil)
}
