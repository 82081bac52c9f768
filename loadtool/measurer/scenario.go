package measurer

import (
	"time"

	"sequoiaspread.example/sequoia/parser"
	"sequoiaspread.example/sequoia/router"
)

const (
	modelHour               = time.Minute // an hour of the simulated day
	floodFactor             = 10.0
	slowdownFactor          = 10.0
	crashedRunnerInterval   = 3 // one in so many runners of the region crashes
	warmUp                  = 30 * time.Second
	settleTime              = 10 * time.Second // between a fault and the next measurement window
	partitionDetectionDelay = 3 * time.Second  // until gateways detect that an availability zone is partitioned
	directoryLifetime       = 10 * time.Second // over which redirected callers return after a partition
	redirectedShare         = 0.5              // callers of a partitioned zone that can reach only other zones
	largestShare            = 0.85             // of the arrivals, for the largest organisation in the unequal scenario
)

// scenario describes one run. Its demand is a fraction of the capacity of each availability zone.
type scenario struct {
	name               string
	end                time.Duration
	windows            []window
	demand             func(sim *simulation, now time.Duration, zone, rank int) float64
	maxDemand          [2]float64 // by rank
	organisationShares func(doc *parser.Document) []float64
	scheduleFaults     func(sim *simulation)
}

func scenarios() []scenario {
	return []scenario{day(), floodOfLongReads(), floodOfChat(), regionLoss(), zonePartition(), slowRunner(), unequalOrganisations()}
}

// day has its demand peak at a different hour in each region; chat alone needs almost the whole region at its peak.
func day() scenario {
	return scenario{
		name:               "day",
		end:                24 * modelHour,
		windows:            []window{{warmUp, 24 * modelHour}},
		maxDemand:          [2]float64{0.95, 0.15},
		organisationShares: sharesByWeight,
		demand: func(sim *simulation, now time.Duration, zone, rank int) float64 {
			if rank > 0 {
				return 0.15
			}
			peak := 0.4 + 0.35*float64(sim.regionIndex(zone))
			return dailyDemand(now.Hours()/(24*modelHour.Hours()), peak, 0.15, 0.95)
		},
	}
}

// floodOfLongReads offers long reads at ten times the capacity and chat at its guaranteed share.
func floodOfLongReads() scenario {
	return scenario{
		name:               "flood-of-long-reads",
		end:                180 * time.Second,
		windows:            []window{{60 * time.Second, 180 * time.Second}},
		maxDemand:          [2]float64{1, floodFactor},
		organisationShares: sharesByWeight,
		demand: func(sim *simulation, now time.Duration, _, rank int) float64 {
			if rank == 0 {
				return sim.doc.Ranks[0].GuaranteedShare
			}
			return stepDemand(now, warmUp, 0.1, floodFactor)
		},
	}
}

// floodOfChat offers chat at ten times the capacity and long reads at their guaranteed share.
func floodOfChat() scenario {
	return scenario{
		name:               "flood-of-chat",
		end:                180 * time.Second,
		windows:            []window{{60 * time.Second, 180 * time.Second}},
		maxDemand:          [2]float64{floodFactor, 1},
		organisationShares: sharesByWeight,
		demand: func(sim *simulation, now time.Duration, _, rank int) float64 {
			if rank == 1 {
				return sim.doc.Ranks[1].GuaranteedShare
			}
			return stepDemand(now, warmUp, 0.2, floodFactor)
		},
	}
}

// regionLoss crashes a third of the runners of the first region, which restart after a cold start.
func regionLoss() scenario {
	crashTime := 60 * time.Second
	return scenario{
		name:               "region-loss",
		end:                240 * time.Second,
		windows:            []window{{warmUp, crashTime}, {crashTime + settleTime, 240 * time.Second}},
		maxDemand:          [2]float64{0.5, 0.1},
		organisationShares: sharesByWeight,
		demand:             constantDemand(0.5, 0.1),
		scheduleFaults: func(sim *simulation) {
			coldStart := sim.doc.Models[0].ColdStart.Duration
			for i, r := range sim.regionRunners(0) {
				if i%crashedRunnerInterval == 0 {
					sim.schedule(crashTime, func(now time.Duration) { sim.crash(now, r) })
					sim.schedule(crashTime+coldStart, func(now time.Duration) { sim.restart(now, r) })
				}
			}
		},
	}
}

// zonePartition partitions the first availability zone from the others for an hour; its caches are empty afterwards.
func zonePartition() scenario {
	start := 60 * time.Second
	healed := start + time.Hour
	end := healed + 120*time.Second
	return scenario{
		name:               "cut-off",
		end:                end,
		windows:            []window{{warmUp, start}, {start + settleTime, healed}, {healed + settleTime, end}},
		maxDemand:          [2]float64{0.5, 0.1},
		organisationShares: sharesByWeight,
		demand:             constantDemand(0.5, 0.1),
		scheduleFaults: func(sim *simulation) {
			sim.schedule(start, func(now time.Duration) { sim.partitionZone(now, 0) })
			sim.schedule(healed, func(now time.Duration) { sim.healZone(now, 0) })
			sim.load.entryZone = sim.redirectDuringPartition(start+partitionDetectionDelay, healed)
		},
	}
}

// slowRunner makes one runner ten times slower without any sign of it in its load reports.
func slowRunner() scenario {
	start := 60 * time.Second
	return scenario{
		name:               "slow-runner",
		end:                180 * time.Second,
		windows:            []window{{warmUp, start}, {start + settleTime, 180 * time.Second}},
		maxDemand:          [2]float64{0.5, 0.1},
		organisationShares: sharesByWeight,
		demand:             constantDemand(0.5, 0.1),
		scheduleFaults: func(sim *simulation) {
			sim.schedule(start, func(time.Duration) { sim.runners[0].slowdown = slowdownFactor })
		},
	}
}

// unequalOrganisations makes one organisation offer far more than its share.
func unequalOrganisations() scenario {
	return scenario{
		name:               "unequal-organisations",
		end:                180 * time.Second,
		windows:            []window{{60 * time.Second, 180 * time.Second}},
		maxDemand:          [2]float64{1.3, 0.2},
		organisationShares: oneDominant,
		demand:             constantDemand(1.3, 0.2),
	}
}

// stepDemand returns low before a time and high from then on.
func stepDemand(now, at time.Duration, low, high float64) float64 {
	if now < at {
		return low
	}
	return high
}

func constantDemand(demand ...float64) func(*simulation, time.Duration, int, int) float64 {
	return func(_ *simulation, _ time.Duration, _, rank int) float64 { return demand[rank] }
}

func sharesByWeight(doc *parser.Document) []float64 {
	total := 0.0
	for _, o := range doc.Organisations {
		total += o.Weight
	}
	shares := make([]float64, len(doc.Organisations))
	for i, o := range doc.Organisations {
		shares[i] = o.Weight / total
	}
	return shares
}

func oneDominant(doc *parser.Document) []float64 {
	shares := make([]float64, len(doc.Organisations))
	for i := range shares {
		shares[i] = (1 - largestShare) / float64(len(shares)-1)
	}
	shares[0] = largestShare
	return shares
}

func (sim *simulation) regionIndex(zone int) int {
	for i, region := range sim.doc.Regions {
		if region.Name == sim.zones[zone].region {
			return i
		}
	}
	return 0
}

func (sim *simulation) regionRunners(region int) []*runner {
	var found []*runner
	for _, r := range sim.runners {
		if sim.regionIndex(r.zone) == region {
			found = append(found, r)
		}
	}
	return found
}

func (sim *simulation) partitionZone(now time.Duration, zone int) {
	sim.zones[zone].partitioned = true
	sim.schedule(now+partitionDetectionDelay, func(now time.Duration) {
		sim.eachGateway(func(g *gateway) {
			for i := range sim.zones {
				if !sim.reachable(g.zone, i) {
					g.policy.handleMessage(now, router.ZoneUnreachable{Zone: sim.zones[i].name})
				}
			}
		})
	})
}

func (sim *simulation) healZone(now time.Duration, zone int) {
	sim.zones[zone].partitioned = false
	for _, r := range sim.runners {
		if r.zone == zone {
			r.cache = newCache(cacheBlocks)
			r.sequence++
			sim.broadcast(now, r.zone, router.CacheEvent{Upstream: r.upstream(sim), Sequence: r.sequence, Cleared: true})
		}
		sim.announce(now, r)
	}
}

// redirectDuringPartition returns a function that chooses the entry zone of a request: while the first availability
// zone is partitioned, some of its callers use other zones. They return as their directory responses expire.
func (sim *simulation) redirectDuringPartition(start, healed time.Duration) func(time.Duration, int) int {
	return func(now time.Duration, zone int) int {
		if zone != 0 || now < start {
			return zone
		}
		share := redirectedShare
		if now > healed {
			share *= max(1-(now-healed).Seconds()/directoryLifetime.Seconds(), 0)
		}
		if sim.random.Float64() >= share {
			return zone
		}
		return 1 + sim.random.IntN(len(sim.zones)-1)
	}
}
