package lessee

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiaspread.example/sequoia/lessor"
)

// Guards against a request larger than the whole limit that is held, or that is reported as demand and so claims the shares
// of other VMs.
func TestRequestAboveTheWholeLimitIsRefusedAtOnce(t *testing.T) {
	l := New(start)
	l.SetLimits(start, map[string]Limit{"o": {Rate: 1_000_000, CountsTokens: true}})
	l.Apply(start, start, nil, lessor.Grant{Term: 1, Fleet: 100})
	absurd := l.Take(start, "o", 1e12)
	assert.Assert(t, !absurd.Admitted)
	assert.Equal(t, absurd.Hold, time.Duration(0))
	assert.Equal(t, absurd.RetryAfter, maxRetryAfter)
	assert.Assert(t, l.Report(start) == nil, "it reported demand")
	assert.Assert(t, l.Take(start, "o", 500_000).Hold > 0, "the whole limit would admit this one")
}

// Guards against one large request of a small limit that outweighs the demand of all other VMs for seconds, and against
// rates beyond int64, which become negative.
func TestReportedDemandIsBounded(t *testing.T) {
	l := New(start)
	l.SetLimits(start, map[string]Limit{"o": {Rate: 1000, CountsTokens: true}, "huge": {Rate: 1e300, CountsTokens: true}})
	l.Take(start, "o", 80_000)
	l.Take(start, "huge", 1e200)
	l.Hold("huge", 1e200)
	report := l.Report(start)
	assert.DeepEqual(t, report.Organisations, []string{"huge", "o"})
	assert.DeepEqual(t, report.Demands, []int64{maxReported, 3750})
	assert.DeepEqual(t, report.Backlogs, []int64{maxReported, 0})
	assert.Assert(t, maxReported < math.MaxInt64)
}

// Guards against a request that is tried again only when all those ahead of it could have been served too.
func TestPauseIsThatOfTheRequestAlone(t *testing.T) {
	l := New(start)
	l.SetLimits(start, map[string]Limit{"o": {Rate: 1000, Burst: 1000}})
	l.Apply(start, start, nil, lessor.Grant{Term: 1, Fleet: 1})
	for l.Take(start, "o", 1).Admitted {
	}
	alone := l.Take(start, "o", 1)
	assert.Assert(t, alone.Hold > 0)
	l.Hold("o", 300)
	behind := l.Take(start, "o", 1)
	assert.Equal(t, behind.Pause, alone.Pause)
	assert.Assert(t, behind.RetryAfter > behind.Pause, "%v", behind.RetryAfter)
}
