package recorder

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gotest.tools/v3/assert"

	"sequoiaspread.example/sequoia/parser"
)

const (
	modelRequests = 20_000
	// modelSyncTime is the time of one synced write; modelZoneDelay is the one-way delay within an availability zone.
	modelSyncTime  = 1500 * time.Microsecond
	modelZoneDelay = 250 * time.Microsecond
	// modelJitter is the largest fraction by which a delay grows; modelLossRate is the fraction of messages between
	// availability zones that wait for TCP's minimum retransmission timeout.
	modelJitter     = 0.3
	modelLossRate   = 0.005
	modelRetransmit = 200 * time.Millisecond
)

// placement models the delays between the replicas of a record, seen from its home availability zone.
type placement struct {
	document *parser.Document
	rng      *rand.Rand
}

func (p placement) oneWayDelay(from, to string) time.Duration {
	if from == to {
		return p.withJitter(modelZoneDelay)
	}
	delay := p.document.Network.RegionDelay.Duration
	if p.region(from) == p.region(to) {
		delay = p.document.Network.ZoneDelay.Duration
	}
	if p.rng.Float64() < modelLossRate {
		delay += modelRetransmit
	}
	return p.withJitter(delay)
}

func (p placement) region(zone string) string {
	for _, region := range p.document.Regions {
		for _, name := range region.Zones {
			if name == zone {
				return region.Name
			}
		}
	}
	return ""
}

func (p placement) withJitter(d time.Duration) time.Duration {
	return d + time.Duration(modelJitter*p.rng.Float64()*float64(d))
}

// groupDecisionTime is the time of one decision by the two members of the home availability zone, which sync one after
// the other.
func (p placement) groupDecisionTime(home string) time.Duration {
	return p.withJitter(modelSyncTime) + p.oneWayDelay(home, home) + p.withJitter(modelSyncTime) + p.oneWayDelay(home, home)
}

// quorumDecisionTime is the time of one decision by a majority of availability zones: the home zone's own sync and the
// fastest reply of another zone.
func (p placement) quorumDecisionTime(home string, zones []string) time.Duration {
	nearest := time.Hour
	for _, zone := range zones {
		if zone != home {
			nearest = min(nearest, p.oneWayDelay(home, zone)+p.withJitter(modelSyncTime)+p.oneWayDelay(zone, home))
		}
	}
	return max(p.withJitter(modelSyncTime), nearest)
}

// Compares the record group with its alternative, a quorum of availability zones. The record group must have the lower
// p99 latency in every availability zone of both documents, and must refuse no request at home while the availability
// zone is partitioned from the others. With -v the test prints the figures of docs/at-most-once.md.
func TestRecordGroupFasterThanZoneQuorum(t *testing.T) {
	for _, name := range []string{"nile-paws", "guild"} {
		document, err := parser.ParseFile("../../deployments/" + name + ".toml")
		assert.NilError(t, err)
		p := placement{document: document, rng: rand.New(rand.NewPCG(1, 1))}
		var zones []string
		for _, region := range document.Regions {
			zones = append(zones, region.Zones...)
		}
		for _, home := range zones {
			group, quorum := newHistogram(), newHistogram()
			for range modelRequests {
				gateway := 2 * p.oneWayDelay(home, home)
				recordDuration(t, group, gateway+p.groupDecisionTime(home)+gateway+p.groupDecisionTime(home))
				recordDuration(t, quorum, gateway+p.quorumDecisionTime(home, zones)+gateway+p.quorumDecisionTime(home, zones))
			}
			t.Logf("%s %s: record group %s; quorum of zones %s", name, home, quantiles(group), quantiles(quorum))
			assert.Assert(t, group.ValueAtQuantile(99) < quorum.ValueAtQuantile(99))
		}
	}
	s := newSetup(t, 1)
	s.partitionZone()
	executed := 0
	const requests = 3600
	for n := range requests {
		if s.first.submit(fmt.Sprintf("key-%d", n), false).waitOutcome(time.Second) == "ran" {
			executed++
		}
		s.sim.runFor(testStart.Add(time.Duration(n+2) * time.Second).Sub(s.sim.now))
	}
	t.Logf("partitioned for an hour, one request a second at home: record group refuses %d of %d; quorum of zones %d of %d",
		requests-executed, requests, requests, requests)
	assert.Equal(t, executed, requests)
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
}

func recordDuration(t *testing.T, histogram *hdrhistogram.Histogram, duration time.Duration) {
	t.Helper()
	assert.NilError(t, histogram.RecordValue(duration.Microseconds()))
}

func quantiles(h *hdrhistogram.Histogram) string {
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return fmt.Sprintf("p50 %.1f ms, p99 %.1f ms", ms(50), ms(99))
}
