package dispatcher

import (
	"time"
)

// row is what is known of one upstream.
type row struct {
	Upstream
	key UpstreamKey
	// own holds the requests of this VM that are at the upstream, with the tokens that still have to be read.
	own     map[string]int
	pending int
	// recent counts the tokens that were sent lately.
	recent decaying
	// others is the number of requests of other VMs as of the upstream's last report.
	others   int
	reported time.Time
	// parts holds when each prompt part was last used here.
	parts      map[string]time.Time
	sent       []time.Time
	failures   int
	avoidUntil time.Time
	coldUntil  time.Time
}

func newRow(upstream Upstream) *row {
	return &row{Upstream: upstream, key: UpstreamKeyOf(upstream.ID), own: map[string]int{}, parts: map[string]time.Time{}}
}

// list takes over what the platform says.
func (r *row) list(now time.Time, upstream Upstream) {
	r.Upstream = upstream
	if upstream.Cold > 0 {
		r.coldUntil = later(r.coldUntil, now.Add(upstream.Cold))
	}
	for id, used := range r.parts {
		if now.Sub(used) > partMemory {
			delete(r.parts, id)
		}
	}
}

func (r *row) report(now time.Time, load Load) {
	r.others = max(0, load.Running+load.Queued-len(r.own))
	r.reported = now
}

// bound is the number of requests that the upstream may have, queue included.
func (r *row) bound() int {
	return r.Slots + max(leastQueue, int(float64(r.Slots)*queuePart))
}

func (r *row) send(now time.Time, request Request, uncached int) {
	r.own[request.ID] = uncached
	r.pending += uncached
	r.recent.add(now, float64(uncached))
	for _, part := range request.Parts {
		r.parts[part.ID] = now
	}
	r.sent = append(r.sent, now)
	for len(r.sent) > 0 && now.Sub(r.sent[0]) > coldWindow {
		r.sent = r.sent[1:]
	}
}

func (r *row) sentWithin(now time.Time, window time.Duration) int {
	count := 0
	for _, at := range r.sent {
		if now.Sub(at) <= window {
			count++
		}
	}
	return count
}

// longReads is the number of long prompts of this VM that the upstream is reading.
func (r *row) longReads() int {
	count := 0
	for _, unread := range r.own {
		if unread >= longRead {
			count++
		}
	}
	return count
}

func (r *row) read(request string) {
	r.pending -= r.own[request]
	if _, ok := r.own[request]; ok {
		r.own[request] = 0
	}
}

func (r *row) end(now time.Time, request string, result Result) {
	r.read(request)
	delete(r.own, request)
	switch result {
	case ResultComplete:
		r.failures = 0
	case ResultFailed:
		r.failures++
		if r.failures >= failuresToAvoid {
			r.avoidUntil = now.Add(avoidTime)
			r.failures = failuresToAvoid - 1
		}
	case ResultUnreachable:
		r.avoidUntil = now.Add(unreachableTime)
		r.parts = map[string]time.Time{}
	case ResultReplaced:
		r.avoidUntil = later(r.avoidUntil, now.Add(goneTime))
	case ResultRefused:
		r.avoidUntil = later(r.avoidUntil, now.Add(refusedTime))
	case ResultCancelled:
	}
}
