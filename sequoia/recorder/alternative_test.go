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
	modelBookings = 20_000
	// modelSync is the time of one synced write; modelLocal is one way between two VMs of an availability zone.
	modelSync  = 1500 * time.Microsecond
	modelLocal = 250 * time.Microsecond
	// modelJitter is the largest share by which a delay grows; modelLoss is the share of messages between availability
	// zones that wait for TCP's least retransmission time.
	modelJitter     = 0.3
	modelLoss       = 0.005
	modelRetransmit = 200 * time.Millisecond
)

// placement is where the replicas of a record are, seen from its home availability zone.
type placement struct {
	document *parser.Document
	rng      *rand.Rand
}

func (p placement) oneWay(from, to string) time.Duration {
	if from == to {
		return p.vary(modelLocal)
	}
	delay := p.document.Network.RegionDelay.Duration
	if p.region(from) == p.region(to) {
		delay = p.document.Network.ZoneDelay.Duration
	}
	if p.rng.Float64() < modelLoss {
		delay += modelRetransmit
	}
	return p.vary(delay)
}

func (p placement) region(zone string) string {
	for _, region := range p.document.Regions {
		for _, each := range region.Zones {
			if each == zone {
				return region.Name
			}
		}
	}
	return ""
}

func (p placement) vary(d time.Duration) time.Duration {
	return d + time.Duration(modelJitter*p.rng.Float64()*float64(d))
}

// group is one decision by the members of the home availability zone: both sync, one after the other.
func (p placement) group(home string) time.Duration {
	return p.vary(modelSync) + p.oneWay(home, home) + p.vary(modelSync) + p.oneWay(home, home)
}

// quorum is one decision by a majority of availability zones: the home's own sync and the nearest other replies.
func (p placement) quorum(home string, zones []string) time.Duration {
	nearest := time.Hour
	for _, zone := range zones {
		if zone != home {
			nearest = min(nearest, p.oneWay(home, zone)+p.vary(modelSync)+p.oneWay(zone, home))
		}
	}
	return max(p.vary(modelSync), nearest)
}

// Guards the choice of the record group: it must be the faster one in every availability zone of both documents, and
// refuse nothing at home while the availability zone is cut off. With -v it prints the figures of docs/at-most-once.md.
func TestAlternativeQuorumOfZones(t *testing.T) {
	for _, name := range []string{"nile-paws", "guild"} {
		document, err := parser.ParseFile("../../deployments/" + name + ".toml")
		assert.NilError(t, err)
		p := placement{document: document, rng: rand.New(rand.NewPCG(1, 1))}
		var zones []string
		for _, region := range document.Regions {
			zones = append(zones, region.Zones...)
		}
		for _, home := range zones {
			group, quorum := newTimes(), newTimes()
			for range modelBookings {
				gateway := 2 * p.oneWay(home, home)
				record(t, group, gateway+p.group(home)+gateway+p.group(home))
				record(t, quorum, gateway+p.quorum(home, zones)+gateway+p.quorum(home, zones))
			}
			t.Logf("%s %s: record group %s; quorum of zones %s", name, home, quantiles(group), quantiles(quorum))
			assert.Assert(t, group.ValueAtQuantile(99) < quorum.ValueAtQuantile(99))
		}
	}
	s := newScene(t, 1)
	s.cutZone()
	ran := 0
	const bookings = 3600
	for n := range bookings {
		if s.first.book(fmt.Sprintf("key-%d", n), false).wait(time.Second) == "ran" {
			ran++
		}
		s.w.runFor(testStart.Add(time.Duration(n+2) * time.Second).Sub(s.w.now))
	}
	t.Logf("cut off for an hour, one booking a second at home: record group refuses %d of %d; quorum of zones %d of %d",
		bookings-ran, bookings, bookings, bookings)
	assert.Equal(t, ran, bookings)
}

func newTimes() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
}

func record(t *testing.T, into *hdrhistogram.Histogram, taken time.Duration) {
	t.Helper()
	assert.NilError(t, into.RecordValue(taken.Microseconds()))
}

func quantiles(h *hdrhistogram.Histogram) string {
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return fmt.Sprintf("p50 %.1f ms, p99 %.1f ms", ms(50), ms(99))
}
