package dispatcher

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// affinity holds the two upstreams that rendezvous hashing selects for a shared prompt prefix, so that VMs without
// knowledge of each other's requests send them to the same upstreams.
type affinity struct {
	first, second *upstreamState
}

func affinityOf(request Request, usable []*upstreamState) affinity {
	var preferred affinity
	if len(request.Parts) < 2 {
		return preferred
	}
	prefix := request.Parts[len(request.Parts)-2].ID
	var highest, second uint64
	for _, u := range usable {
		weight := xxhash.Sum64String(prefix + "/" + u.ID)
		switch {
		case preferred.first == nil || weight > highest:
			preferred.first, preferred.second = u, preferred.first
			highest, second = weight, highest
		case preferred.second == nil || weight > second:
			preferred.second, second = u, weight
		}
	}
	return preferred
}

// missRatio returns the share of a shared prefix that an upstream is expected to prefill.
func (a affinity) missRatio(u *upstreamState) float64 {
	switch u {
	case a.first:
		return firstMissRatio
	case a.second:
		return secondMissRatio
	}
	return 1
}

// uncached returns the prompt tokens that an upstream is expected to prefill: those unique to the request, and those of
// the prefix that it shares with others.
func (u *upstreamState) uncached(now time.Time, request Request, preferred affinity) (ownTokens int, sharedTokens float64) {
	missRatio := preferred.missRatio(u)
	cached := true
	for i, part := range request.Parts {
		if i == len(request.Parts)-1 {
			return part.Tokens, sharedTokens
		}
		lastUsed, known := u.cachedParts[part.ID]
		cached = cached && known && now.Sub(lastUsed) <= cachedPartTTL
		if !cached {
			sharedTokens += missRatio * float64(part.Tokens)
		}
	}
	return 0, sharedTokens
}

// cost estimates in milliseconds the time to the first token plus the delay that the request causes for others. For
// services without a model engine it is a unitless measure of the queue.
func (d *Dispatcher) cost(now time.Time, u *upstreamState, request Request, limits Limits, preferred affinity) float64 {
	outstanding := float64(d.outstanding(now, u))
	excess := max(0, outstanding+1-float64(u.Slots))
	if !limits.Engine {
		return outstanding/float64(max(u.Slots, 1)) + excess
	}
	ownTokens, sharedTokens := u.uncached(now, request, preferred)
	wait := (float64(d.pendingTokens(u)+ownTokens) + cacheMissPenalty*sharedTokens) / prefillRate
	interference := (float64(ownTokens) + sharedTokens) / prefillRate * outstanding * prefillInterference
	if u.Zone != d.zone {
		wait += crossZonePenalty
	}
	return wait + interference + outstanding*runningDelay + excess*queuedDelay
}

// missesDeadline reports whether the answer is expected to end after the caller has stopped waiting.
func (d *Dispatcher) missesDeadline(now time.Time, u *upstreamState, request Request, preferred affinity) bool {
	if request.Remaining <= 0 {
		return false
	}
	ownTokens, sharedTokens := u.uncached(now, request, preferred)
	estimate := (float64(d.pendingTokens(u)+ownTokens)+sharedTokens)/prefillRate + float64(request.MaxOutputTokens)*decodeTimePerToken
	return milliseconds(estimate) > request.Remaining
}

func milliseconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Millisecond))
}
