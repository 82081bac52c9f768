package dispatcher

import (
	"time"
)

// upstreamState is the state known of one upstream.
type upstreamState struct {
	Upstream
	key UpstreamKey
	// inFlight holds the requests of this VM at the upstream.
	inFlight      map[string]sentRequest
	pendingTokens int
	// recentTokens is the decaying sum of the tokens sent to the upstream.
	recentTokens decayingSum
	// otherRequests is the number of requests of other VMs as of the last load report.
	otherRequests int
	reportedAt    time.Time
	// cachedParts maps each prompt part to its last use at this upstream.
	cachedParts         map[string]time.Time
	sentAt              []time.Time
	consecutiveFailures int
	ejectedUntil        time.Time
	// waitUntil is the end of the time for which the upstream asked to be left alone.
	waitUntil time.Time
	coldUntil time.Time
	// leavingSince is the earliest time at which the list can have shown first that the upstream is leaving, or zero if that
	// is not known.
	leavingSince time.Time
	// restart is the suspicion that the upstream may be cold without the list showing it.
	restart suspicion
	// lastContact is the latest answer of the upstream.
	lastContact Contact
	limit       knownLimit
}

// sentRequest is a request at an upstream: its tokens that still have to be prefilled, and when it was sent.
type sentRequest struct {
	uncached int
	sentAt   time.Time
}

func newUpstreamState(upstream Upstream) *upstreamState {
	return &upstreamState{Upstream: upstream, key: UpstreamKeyOf(upstream.ID), inFlight: map[string]sentRequest{}, cachedParts: map[string]time.Time{}}
}

// updateListing applies the platform's listing of the upstream and drops expired cache entries.
func (u *upstreamState) updateListing(now time.Time, upstream Upstream) {
	u.Upstream = upstream
	if !upstream.Leaving {
		u.leavingSince = time.Time{}
	}
	if upstream.Cold > 0 {
		u.coldUntil = latest(u.coldUntil, now.Add(upstream.Cold))
	}
	for id, lastUsed := range u.cachedParts {
		if now.Sub(lastUsed) > cachedPartTTL {
			delete(u.cachedParts, id)
		}
	}
}

func (u *upstreamState) recordLoad(now time.Time, load Load) {
	u.otherRequests = max(0, load.Running+load.Queued-len(u.inFlight))
	u.reportedAt = now
}

// capacity returns the number of requests that the upstream may have, including its queue.
func (u *upstreamState) capacity() int {
	return u.Slots + max(minQueue, int(float64(u.Slots)*queueRatio))
}

func (u *upstreamState) recordSend(now time.Time, request Request, uncached int) {
	u.inFlight[request.ID] = sentRequest{uncached: uncached, sentAt: now}
	u.pendingTokens += uncached
	u.recentTokens.add(now, float64(uncached))
	for _, part := range request.Parts {
		u.cachedParts[part.ID] = now
	}
	u.countSend(now)
}

// countSend counts a request towards the rate limit.
func (u *upstreamState) countSend(now time.Time) {
	u.sentAt = append(u.sentAt, now)
	for len(u.sentAt) > 0 && now.Sub(u.sentAt[0]) > maxLimitWindow {
		u.sentAt = u.sentAt[1:]
	}
}

func (u *upstreamState) sentWithin(now time.Time, window time.Duration) int {
	count := 0
	for _, at := range u.sentAt {
		if now.Sub(at) <= window {
			count++
		}
	}
	return count
}

// longPrefills returns the number of long prompts of this VM that the upstream has not finished prefilling.
func (u *upstreamState) longPrefills() int {
	count := 0
	for _, sent := range u.inFlight {
		if sent.uncached >= longPrefillTokens {
			count++
		}
	}
	return count
}

func (u *upstreamState) finishPrefill(request string) {
	sent, ok := u.inFlight[request]
	if !ok {
		return
	}
	u.pendingTokens -= sent.uncached
	sent.uncached = 0
	u.inFlight[request] = sent
}

func (u *upstreamState) recordEnd(now time.Time, request string, result Result) {
	u.finishPrefill(request)
	delete(u.inFlight, request)
	switch result {
	case ResultComplete:
		u.consecutiveFailures = 0
	case ResultFailed, ResultBroken:
		u.consecutiveFailures++
		if u.consecutiveFailures >= maxConsecutiveFailures {
			u.ejectedUntil = now.Add(ejectionTime)
			u.consecutiveFailures = maxConsecutiveFailures - 1
		}
	case ResultUnreachable:
		u.ejectedUntil = now.Add(unreachableEjectionTime)
		u.cachedParts = map[string]time.Time{}
	case ResultReplaced:
		u.ejectedUntil = latest(u.ejectedUntil, now.Add(replacedEjectionTime))
	case ResultRefused:
		u.ejectedUntil = latest(u.ejectedUntil, now.Add(refusedEjectionTime))
	case ResultCancelled:
	}
}
