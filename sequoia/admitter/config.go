package admitter

import (
	"time"

	"sequoiaspread.example/sequoia/parser"
)

// Config sets the ranks, most urgent first, and the weights of organisations. An organisation without an entry has
// weight 1. A process uses one admitter per upstream pool.
type Config struct {
	Ranks   []parser.Rank
	Weights map[string]float64
}

const (
	// shareTimeConstant is the averaging time of the work that is compared with guaranteed and fair shares.
	shareTimeConstant = 10 * time.Second
	// rateTimeConstant is the averaging time of the admission rate.
	rateTimeConstant = 2 * time.Second
	// demandTimeConstant is the averaging time of the arrival rate. It is long because some gateways see few arrivals.
	demandTimeConstant = 10 * time.Second
	// maxDemandRatio is the ratio of demand to guaranteed share at which no more slots are reserved for a rank.
	maxDemandRatio = 2.5
	// usableTargetRatio is the fraction of the target available to the wait and the expected time to first token.
	usableTargetRatio = 0.8
	// minWaitRatio is the fraction of the target that a request may always wait.
	minWaitRatio = 0.2
	// burstDeviations is the number of standard deviations of the demand of a more urgent rank that are reserved.
	burstDeviations = 2.75
	// placementReserve is the fraction of slots that all ranks but the least urgent leave free. If every slot were taken,
	// VMs with stale estimates would send to full upstreams while others have free slots.
	placementReserve = 0.015
	// fairnessReserve is the fraction of slots that an organisation above its fair share leaves free, so that requests of
	// other organisations find a free slot on arrival.
	fairnessReserve = 0.08
	// fairShareTolerance is the ratio to its fair share from which an organisation counts as above it.
	fairShareTolerance = 1.2
	// minServedWork is the decayed work, in tokens, below which the queue of an idle organisation is dropped.
	minServedWork = 1.0
	// slotTimeWeight is the weight of a new sample in the moving average of the slot time.
	slotTimeWeight = 0.05
	// initialSlotTime is the slot time assumed before any observation.
	initialSlotTime = 3 * time.Second
	// minRetryAfter is the minimum retry delay sent to a caller.
	minRetryAfter = 100 * time.Millisecond
)
