package measurer

import (
	"time"

	"sequoiaspread.example/sequoia/parser"
	"sequoiaspread.example/sequoia/router"
)

const (
	hour           = time.Minute // an hour of the modelled day
	floodFactor    = 10.0
	slowFactor     = 10.0
	lostPart       = 3 // one runner in so many of a region is lost
	warmUp         = 30 * time.Second
	settle         = 10 * time.Second // after a fault, before the steady part goes on
	linkDetection  = 3 * time.Second  // until gateways notice that an availability zone is cut off
	directoryLife  = 10 * time.Second // over which redirected callers return
	redirectedPart = 0.5              // callers of a cut-off availability zone that can reach others only
	largestPart    = 0.85             // arrivals of the largest organisation when sizes are very unequal
)

// scenario is one run: its demand as parts of the capacity of each availability zone, and its faults.
type scenario struct {
	name   string
	end    time.Duration
	steady []span
	demand func(w *world, now time.Duration, zone, rank int) float64
	most   [2]float64 // highest demand of each rank
	mix    func(doc *parser.Document) []float64
	faults func(w *world)
}

func scenarios() []scenario {
	return []scenario{day(), floodOfReads(), floodOfChat(), regionLoss(), cutOff(), slowRunner(), unequal()}
}

// day has peaks at different hours in each region; chat at the peak alone needs almost the whole region.
func day() scenario {
	return scenario{
		name:   "day",
		end:    24 * hour,
		steady: []span{{warmUp, 24 * hour}},
		most:   [2]float64{0.95, 0.15},
		mix:    byWeight,
		demand: func(w *world, now time.Duration, zone, rank int) float64 {
			if rank > 0 {
				return 0.15
			}
			peak := 0.4 + 0.35*float64(w.regionNumber(zone))
			return wave(now.Hours()/(24*hour.Hours()), peak, 0.15, 0.95)
		},
	}
}

// floodOfReads offers long reads at ten times the capacity while chat asks for its guaranteed share.
func floodOfReads() scenario {
	return scenario{
		name:   "flood-of-long-reads",
		end:    180 * time.Second,
		steady: []span{{60 * time.Second, 180 * time.Second}},
		most:   [2]float64{1, floodFactor},
		mix:    byWeight,
		demand: func(w *world, now time.Duration, _, rank int) float64 {
			if rank == 0 {
				return w.doc.Ranks[0].GuaranteedShare
			}
			return step(now, warmUp, 0.1, floodFactor)
		},
	}
}

// floodOfChat offers chat at ten times the capacity while long reads ask for their guaranteed share.
func floodOfChat() scenario {
	return scenario{
		name:   "flood-of-chat",
		end:    180 * time.Second,
		steady: []span{{60 * time.Second, 180 * time.Second}},
		most:   [2]float64{floodFactor, 1},
		mix:    byWeight,
		demand: func(w *world, now time.Duration, _, rank int) float64 {
			if rank == 1 {
				return w.doc.Ranks[1].GuaranteedShare
			}
			return step(now, warmUp, 0.2, floodFactor)
		},
	}
}

// regionLoss takes a third of the runners of the first region away until they started again.
func regionLoss() scenario {
	lost := 60 * time.Second
	return scenario{
		name:   "region-loss",
		end:    240 * time.Second,
		steady: []span{{warmUp, lost}, {lost + settle, 240 * time.Second}},
		most:   [2]float64{0.5, 0.1},
		mix:    byWeight,
		demand: steady(0.5, 0.1),
		faults: func(w *world) {
			cold := w.doc.Models[0].ColdStart.Duration
			for i, r := range w.regionRunners(0) {
				if i%lostPart == 0 {
					w.schedule(lost, func(now time.Duration) { w.crash(now, r) })
					w.schedule(lost+cold, func(now time.Duration) { w.restart(now, r) })
				}
			}
		},
	}
}

// cutOff cuts the first availability zone off for an hour; it returns with caches that hold nothing of use.
func cutOff() scenario {
	from := 60 * time.Second
	to := from + time.Hour
	end := to + 120*time.Second
	return scenario{
		name:   "cut-off",
		end:    end,
		steady: []span{{warmUp, from}, {from + settle, to}, {to + settle, end}},
		most:   [2]float64{0.5, 0.1},
		mix:    byWeight,
		demand: steady(0.5, 0.1),
		faults: func(w *world) {
			w.schedule(from, func(now time.Duration) { w.cutZone(now, 0) })
			w.schedule(to, func(now time.Duration) { w.healZone(now, 0) })
			w.load.redirect = w.redirected(from+linkDetection, to)
		},
	}
}

// slowRunner makes one runner ten times slower; its reports do not show it.
func slowRunner() scenario {
	from := 60 * time.Second
	return scenario{
		name:   "slow-runner",
		end:    180 * time.Second,
		steady: []span{{warmUp, from}, {from + settle, 180 * time.Second}},
		most:   [2]float64{0.5, 0.1},
		mix:    byWeight,
		demand: steady(0.5, 0.1),
		faults: func(w *world) {
			w.schedule(from, func(time.Duration) { w.runners[0].slowdown = slowFactor })
		},
	}
}

// unequal lets one organisation ask for far more than its share.
func unequal() scenario {
	return scenario{
		name:   "unequal-organisations",
		end:    180 * time.Second,
		steady: []span{{60 * time.Second, 180 * time.Second}},
		most:   [2]float64{1.3, 0.2},
		mix:    oneLarge,
		demand: steady(1.3, 0.2),
	}
}

// step is low until a time and high from then on.
func step(now, at time.Duration, low, high float64) float64 {
	if now < at {
		return low
	}
	return high
}

func steady(demand ...float64) func(*world, time.Duration, int, int) float64 {
	return func(_ *world, _ time.Duration, _, rank int) float64 { return demand[rank] }
}

func byWeight(doc *parser.Document) []float64 {
	total := 0.0
	for _, o := range doc.Organisations {
		total += o.Weight
	}
	mix := make([]float64, len(doc.Organisations))
	for i, o := range doc.Organisations {
		mix[i] = o.Weight / total
	}
	return mix
}

func oneLarge(doc *parser.Document) []float64 {
	mix := make([]float64, len(doc.Organisations))
	for i := range mix {
		mix[i] = (1 - largestPart) / float64(len(mix)-1)
	}
	mix[0] = largestPart
	return mix
}

func (w *world) regionNumber(zone int) int {
	for i, region := range w.doc.Regions {
		if region.Name == w.zones[zone].region {
			return i
		}
	}
	return 0
}

func (w *world) regionRunners(region int) []*runner {
	var found []*runner
	for _, r := range w.runners {
		if w.regionNumber(r.zone) == region {
			found = append(found, r)
		}
	}
	return found
}

func (w *world) cutZone(now time.Duration, cut int) {
	w.zones[cut].cut = true
	w.schedule(now+linkDetection, func(now time.Duration) {
		w.eachGateway(func(g *gateway) {
			for i := range w.zones {
				if !w.reachable(g.zone, i) {
					g.policy.message(now, router.ZoneUnreachable{Zone: w.zones[i].name})
				}
			}
		})
	})
}

func (w *world) healZone(now time.Duration, cut int) {
	w.zones[cut].cut = false
	for _, r := range w.runners {
		if r.zone == cut {
			r.cache = newCache(cacheBlocks)
			r.sequence++
			w.tell(now, r.zone, router.CacheEvent{Upstream: r.upstream(w), Sequence: r.sequence, Cleared: true})
		}
		w.announce(now, r)
	}
}

// redirected sends a part of the callers of the first availability zone elsewhere while it is cut off; they return
// as their directory answers expire.
func (w *world) redirected(from, to time.Duration) func(time.Duration, int) int {
	return func(now time.Duration, zone int) int {
		if zone != 0 || now < from {
			return zone
		}
		part := redirectedPart
		if now > to {
			part *= max(1-(now-to).Seconds()/directoryLife.Seconds(), 0)
		}
		if w.random.Float64() >= part {
			return zone
		}
		return 1 + w.random.IntN(len(w.zones)-1)
	}
}
