package measurer

import (
	"slices"
	"time"

	"sequoiaspread.example/sequoia/router"
)

// maxBaselineAttempts is the number of attempts that a baseline makes for one request.
const maxBaselineAttempts = 3

// runnerSelector chooses one of the usable runners.
type runnerSelector func(b *baseline, usable []*runner) *runner

// baseline is a policy without ranks or admission control: it sends each request immediately to a runner of any allowed
// availability zone.
type baseline struct {
	sim          *simulation
	gateway      *gateway
	selectRunner runnerSelector
	removed      map[string]bool
	unreachable  map[string]bool
	outstanding  []int // requests of this gateway on each runner, by index
	cursor       int
}

func newBaseline(selectRunner runnerSelector) func(*simulation, *gateway) policy {
	return func(sim *simulation, g *gateway) policy {
		return &baseline{
			sim:          sim,
			gateway:      g,
			selectRunner: selectRunner,
			removed:      map[string]bool{},
			unreachable:  map[string]bool{},
			outstanding:  make([]int, len(sim.runners)),
			cursor:       sim.random.IntN(len(sim.runners)),
		}
	}
}

// roundRobin selects the runners in turn.
func roundRobin(b *baseline, usable []*runner) *runner {
	b.cursor++
	return usable[b.cursor%len(usable)]
}

// leastOutstanding selects the runner with the fewest outstanding requests of this gateway. Ties go to the local
// availability zone, then to the local region, then to the next runner in turn.
func leastOutstanding(b *baseline, usable []*runner) *runner {
	b.cursor++
	best := usable[b.cursor%len(usable)]
	for i := range usable {
		r := usable[(b.cursor+i)%len(usable)]
		if b.less(r, best) {
			best = r
		}
	}
	return best
}

func (b *baseline) less(r, other *runner) bool {
	if b.outstanding[r.index] != b.outstanding[other.index] {
		return b.outstanding[r.index] < b.outstanding[other.index]
	}
	return b.networkDistance(r) < b.networkDistance(other)
}

func (b *baseline) networkDistance(r *runner) int {
	zones := b.sim.zones
	switch {
	case r.zone == b.gateway.zone:
		return 0
	case zones[r.zone].region == zones[b.gateway.zone].region:
		return 1
	}
	return 2
}

func (b *baseline) arrived(now time.Duration, q *request) {
	var usable []*runner
	for _, r := range b.sim.runners {
		zone := b.sim.zones[r.zone].name
		if !b.removed[r.name] && !b.unreachable[zone] && slices.Contains(q.allowed, zone) {
			usable = append(usable, r)
		}
	}
	if len(usable) == 0 || q.attempts >= maxBaselineAttempts {
		b.sim.refuse(now, q)
		return
	}
	r := b.selectRunner(b, usable)
	b.outstanding[r.index]++
	b.sim.send(now, b.gateway, q, r)
}

func (b *baseline) firstToken(time.Duration, *request) {}

func (b *baseline) finished(_ time.Duration, q *request) {
	b.outstanding[q.runner.index]--
}

func (b *baseline) failed(now time.Duration, q *request) {
	b.outstanding[q.runner.index]--
	if q.started || now > q.deadline {
		b.sim.refuse(now, q)
		return
	}
	b.arrived(now, q)
}

func (b *baseline) tokensGenerated(time.Duration, *runner, int, time.Duration) {}

func (b *baseline) handleMessage(_ time.Duration, m router.Message) {
	switch m := m.(type) {
	case router.UpstreamAdded:
		delete(b.removed, m.Upstream.Name)
		delete(b.unreachable, m.Upstream.Zone)
	case router.UpstreamRemoved:
		b.removed[m.Upstream.Name] = true
	case router.ZoneUnreachable:
		b.unreachable[m.Zone] = true
	}
}

func (b *baseline) tick(time.Duration) {}
