package main

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"sequoiaspread.example/sequoia/loader"
	"sequoiaspread.example/sequoia/messenger"
	"sequoiaspread.example/sequoia/parser"
)

func newTestLevels(t *testing.T, now *time.Time) *serviceLevels {
	t.Helper()
	doc, err := parser.ParseFile("../deployments/nile-paws.toml")
	assert.NilError(t, err)
	for i := range doc.VMs {
		// An environment on this machine may use the addresses of the shipped document.
		doc.VMs[i].ControllerAddress.AddrPort = netip.MustParseAddrPort("127.0.0.1:1")
	}
	g := &gateway{
		settings: &loader.Settings{VM: "cairo-a-1", Zone: "cairo-a"}, now: func() time.Time { return *now },
		pool: messenger.NewPool(messenger.PoolConfig{Logger: logrus.New()}), log: logrus.New(),
	}
	g.environment.Store(newEnvironment(1, doc))
	return newServiceLevels(g)
}

// Guards against a service-level report that counts callers' mistakes as errors, counts a forwarded request twice, or
// misses slow first tokens and slow streams.
func TestServiceLevels(t *testing.T) {
	now := time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)
	s := newTestLevels(t, &now)
	const model = "paws-chat"
	stream := func(id string, first, total time.Duration, tokens int) {
		s.record(requestEvent{RequestID: id, Phase: phaseFirstToken, Elapsed: first})
		s.record(requestEvent{RequestID: id, Phase: phaseEnded, At: now, Elapsed: total, Service: "paws-assist", Rank: "urgent", Model: model, Tokens: tokens})
	}
	stream("in time", 200*time.Millisecond, 400*time.Millisecond, 11)
	stream("late first token", 400*time.Millisecond, 500*time.Millisecond, 11)
	stream("slow stream", 200*time.Millisecond, 900*time.Millisecond, 11)
	end := requestEvent{Phase: phaseEnded, At: now, Service: "paws-assist", Rank: "urgent", Model: model, Tokens: 5}
	forwarded, invalid, refused := end, end, end
	forwarded.Forwarded = true
	invalid.Cause = "invalid-json"
	refused.Cause = "queue-full"
	for _, event := range []requestEvent{forwarded, invalid, refused} {
		s.record(event)
	}
	now = now.Add(time.Minute)
	report := s.buildReport(now)
	assert.Equal(t, len(report.Buckets), 2)
	assert.Equal(t, report.Buckets[1].Good, uint64(1))
	assert.Equal(t, report.Buckets[1].Bad, uint64(3))
	assert.Equal(t, report.Demands[0].Rate*60, 38.0)
}

// Guards against losing service-level history while the controllers of the availability zone are unreachable.
func TestServiceLevelsAreKeptUntilStored(t *testing.T) {
	now := time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)
	s := newTestLevels(t, &now)
	for range 3 {
		s.send(context.Background())
		now = now.Add(time.Minute)
	}
	assert.Equal(t, len(s.buildReport(now).Buckets), 3)
}
