package admitter

import (
	"time"

	"sequoiaspread.example/sequoia/parser"
)

// Config states the ranks, most urgent first, and the weight of each organisation; one that is not listed has
// weight 1. A process uses one admitter for each pool of upstreams.
type Config struct {
	Ranks   []parser.Rank
	Weights map[string]float64
}

const (
	// shareMemory is the time over which the work of the ranks is compared with their guaranteed shares.
	shareMemory = 10 * time.Second
	// rateMemory is the time over which admissions are averaged.
	rateMemory = 2 * time.Second
	// demandMemory is the time over which arrivals are averaged; a gateway with few arrivals needs a long one.
	demandMemory = 10 * time.Second
	// mostClaim is the demand over the guaranteed share at which a rank has no claim to free slots any more.
	mostClaim = 2.5
	// targetPart is the part of the target that the wait and the expected first token may use together.
	targetPart = 0.8
	// leastWaitPart is the part of the target that a request may always wait.
	leastWaitPart = 0.2
	// burstDeviations is how many standard deviations of the demand of a more urgent rank stay free.
	burstDeviations = 2.75
	// placementSpare is the part of the slots that all but the least urgent rank leave free: when each slot is taken,
	// VMs with late estimates send to full upstreams while others have free slots.
	placementSpare = 0.015
	// fairSpare is the part of the slots that an organisation above its fair share leaves free for the others, which
	// else find no free slot when they arrive.
	fairSpare = 0.08
	// overFairPart is how far above its fair share an organisation counts as above it.
	overFairPart = 1.2
	// leastServed is the fading work, in tokens, below which an idle organisation is forgotten.
	leastServed = 1.0
	// holdWeight is the weight of a new answer in the smoothed time that a request keeps its slot.
	holdWeight = 0.05
	// firstHold is the time that a request keeps its slot before any observation.
	firstHold = 3 * time.Second
	// leastRetry is the shortest retry time told to a caller.
	leastRetry = 100 * time.Millisecond
)
