package limiter

import (
	"slices"
	"time"
)

// Config states the target between tokens and the share of tokens that must meet it.
type Config struct {
	Target    time.Duration
	Objective float64 // 0 to 1
}

const (
	// Window is the time over which inter-token times are judged.
	Window = 500 * time.Millisecond
	// RetryAfter is the time after which an avoided upstream is tried again.
	ProbeDelay = 10 * time.Second
	// leastTokens is the number of tokens below which a window is not judged.
	leastTokens = 20
	// fastestCut bounds the fall of a limit in one window, so that one stall does not empty an upstream.
	fastestCut = 0.5
	// slowestCut makes sure that a miss lowers the limit.
	slowestCut = 0.9
	// slowFactor is how much slower than the target an upstream is that must be avoided rather than limited.
	slowFactor = 3.0
)

// row is the state of one upstream.
type row struct {
	upstream Upstream
	most     int
	limit    int
	running  float64
	opened   time.Time // start of the window
	tokens   int
	missed   int
	sum      time.Duration
	avoided  time.Time // when it was found slow; zero when in use
}

// Limiter holds the limits of all upstreams.
type Limiter struct {
	config Config
	rows   []row
	index  map[string]int
}

// New returns a limiter without upstreams.
func New(config Config) *Limiter {
	return &Limiter{config: config, index: map[string]int{}}
}

// Step takes in one message; messages about earlier incarnations are ignored.
func (l *Limiter) Step(now time.Time, m Message) {
	m.apply(l, now)
}

// Limit returns the limit of an upstream, or 0 for an unknown one.
func (l *Limiter) Limit(name string) int {
	i, ok := l.index[name]
	if !ok {
		return 0
	}
	return l.rows[i].limit
}

// Tick judges the windows that are complete and returns what changed.
func (l *Limiter) Tick(now time.Time) []Effect {
	var effects []Effect
	for i := range l.rows {
		r := &l.rows[i]
		if !r.avoided.IsZero() {
			effects = append(effects, r.retry(now)...)
			continue
		}
		if now.Sub(r.opened) >= Window && r.tokens >= leastTokens {
			effects = append(effects, l.judge(now, r)...)
		}
	}
	return effects
}

func (l *Limiter) find(u Upstream) *row {
	i, ok := l.index[u.Name]
	if !ok || l.rows[i].upstream != u {
		return nil
	}
	return &l.rows[i]
}

func (m UpstreamAdded) apply(l *Limiter, now time.Time) {
	i, ok := l.index[m.Upstream.Name]
	if !ok {
		i = len(l.rows)
		l.rows = append(l.rows, row{})
		l.index[m.Upstream.Name] = i
	}
	r := &l.rows[i]
	if ok && r.upstream.Incarnation >= m.Upstream.Incarnation {
		r.most = m.BatchLimit
		return
	}
	*r = row{upstream: m.Upstream, most: m.BatchLimit, limit: m.BatchLimit, opened: now}
}

func (m UpstreamRemoved) apply(l *Limiter, _ time.Time) {
	if l.find(m.Upstream) == nil {
		return
	}
	i := l.index[m.Upstream.Name]
	l.rows = slices.Delete(l.rows, i, i+1)
	delete(l.index, m.Upstream.Name)
	for k := i; k < len(l.rows); k++ {
		l.index[l.rows[k].upstream.Name] = k
	}
}

func (m Tokens) apply(l *Limiter, _ time.Time) {
	r := l.find(m.Upstream)
	if r == nil {
		return
	}
	r.tokens += m.Count
	r.sum += m.Interval * time.Duration(m.Count)
	if m.Interval > l.config.Target {
		r.missed += m.Count
	}
}

func (m Load) apply(l *Limiter, _ time.Time) {
	if r := l.find(m.Upstream); r != nil {
		r.running = max(r.running, m.Running)
	}
}

// judge compares a window with the target and starts the next one.
func (l *Limiter) judge(now time.Time, r *row) []Effect {
	mean := r.sum / time.Duration(r.tokens)
	missed := float64(r.missed) / float64(r.tokens)
	used := r.running
	r.open(now)
	before := r.limit
	switch {
	case missed > 1-l.config.Objective:
		r.cut(float64(l.config.Target)/float64(mean), used)
	case used >= float64(r.limit-1):
		r.limit = min(r.limit+1, r.most)
	}
	var effects []Effect
	if r.limit != before {
		effects = append(effects, Changed{Upstream: r.upstream, Limit: r.limit})
	}
	if r.limit == 1 && float64(mean) > slowFactor*float64(l.config.Target) {
		r.avoided = now
		effects = append(effects, Slow{Upstream: r.upstream, Avoid: true})
	}
	return effects
}

func (r *row) open(now time.Time) {
	r.opened, r.tokens, r.missed, r.sum, r.running = now, 0, 0, 0, 0
}

// cut lowers the limit from what was in use, in proportion to the miss.
func (r *row) cut(ratio, used float64) {
	ratio = min(max(ratio, fastestCut), slowestCut)
	from := float64(r.limit)
	if used > 0 {
		from = min(from, used)
	}
	r.limit = max(int(from*ratio), 1)
}

// retry lets an avoided upstream be tried again with one request.
func (r *row) retry(now time.Time) []Effect {
	if now.Sub(r.avoided) < ProbeDelay {
		return nil
	}
	r.avoided = time.Time{}
	r.open(now)
	return []Effect{Slow{Upstream: r.upstream}}
}
