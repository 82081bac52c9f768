package measurer

import (
	"slices"
	"time"

	"sequoiaspread.example/sequoia/router"
)

// maxBaselineAttempts is how often a baseline sends a request that an upstream did not answer.
const maxBaselineAttempts = 3

// pick chooses one of the usable runners.
type pick func(b *baseline, usable []*runner) *runner

// baseline sends each request at once to a runner of any allowed availability zone, without ranks or admission.
type baseline struct {
	world       *world
	gateway     *gateway
	pick        pick
	gone        map[string]bool
	lost        map[string]bool
	outstanding []int // own requests on each runner
	turn        int
}

func newBaseline(p pick) func(*world, *gateway) policy {
	return func(w *world, g *gateway) policy {
		return &baseline{
			world:       w,
			gateway:     g,
			pick:        p,
			gone:        map[string]bool{},
			lost:        map[string]bool{},
			outstanding: make([]int, len(w.runners)),
			turn:        w.random.IntN(len(w.runners)),
		}
	}
}

// roundRobin takes the runners in turn.
func roundRobin(b *baseline, usable []*runner) *runner {
	b.turn++
	return usable[b.turn%len(usable)]
}

// leastOutstanding takes the runner with the fewest own requests; among equal ones those of the own availability
// zone come first, then those of the own region, then in turn.
func leastOutstanding(b *baseline, usable []*runner) *runner {
	b.turn++
	best := usable[b.turn%len(usable)]
	for i := range usable {
		r := usable[(b.turn+i)%len(usable)]
		if b.less(r, best) {
			best = r
		}
	}
	return best
}

func (b *baseline) less(r, other *runner) bool {
	if b.outstanding[r.number] != b.outstanding[other.number] {
		return b.outstanding[r.number] < b.outstanding[other.number]
	}
	return b.distance(r) < b.distance(other)
}

func (b *baseline) distance(r *runner) int {
	zones := b.world.zones
	switch {
	case r.zone == b.gateway.zone:
		return 0
	case zones[r.zone].region == zones[b.gateway.zone].region:
		return 1
	}
	return 2
}

func (b *baseline) arrive(now time.Duration, q *request) {
	var usable []*runner
	for _, r := range b.world.runners {
		zone := b.world.zones[r.zone].name
		if !b.gone[r.name] && !b.lost[zone] && slices.Contains(q.allowed, zone) {
			usable = append(usable, r)
		}
	}
	if len(usable) == 0 || q.attempts >= maxBaselineAttempts {
		b.world.refuse(now, q)
		return
	}
	r := b.pick(b, usable)
	b.outstanding[r.number]++
	b.world.send(now, b.gateway, q, r)
}

func (b *baseline) firstToken(time.Duration, *request) {}

func (b *baseline) finished(_ time.Duration, q *request) {
	b.outstanding[q.runner.number]--
}

func (b *baseline) failed(now time.Duration, q *request) {
	b.outstanding[q.runner.number]--
	if q.started || now > q.giveUp {
		b.world.refuse(now, q)
		return
	}
	b.arrive(now, q)
}

func (b *baseline) tokens(time.Duration, *runner, int, time.Duration) {}

func (b *baseline) message(_ time.Duration, m router.Message) {
	switch m := m.(type) {
	case router.UpstreamAdded:
		delete(b.gone, m.Upstream.Name)
		delete(b.lost, m.Upstream.Zone)
	case router.UpstreamRemoved:
		b.gone[m.Upstream.Name] = true
	case router.ZoneUnreachable:
		b.lost[m.Zone] = true
	}
}

func (b *baseline) tick(time.Duration) {}
