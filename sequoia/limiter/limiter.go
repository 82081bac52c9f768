package limiter

import (
	"slices"
	"time"
)

// Config sets the target for inter-token latency and the fraction of tokens that must meet it.
type Config struct {
	Target    time.Duration
	Objective float64 // 0 to 1
}

const (
	// Window is the period over which inter-token latency is evaluated.
	Window = 500 * time.Millisecond
	// ProbeDelay is the time after which an avoided upstream is probed.
	ProbeDelay = 10 * time.Second
	// minWindowTokens is the minimum number of tokens for a window to be evaluated.
	minWindowTokens = 20
	// minCutRatio bounds the cut per window, so that a single stall does not idle an upstream.
	minCutRatio = 0.5
	// maxCutRatio ensures that a missed target lowers the limit.
	maxCutRatio = 0.9
	// slowFactor is the ratio to the target above which an upstream at the minimum limit is avoided.
	slowFactor = 3.0
)

// upstreamState is the state of one upstream.
type upstreamState struct {
	upstream     Upstream
	batchLimit   int
	limit        int
	peakRunning  float64
	windowStart  time.Time // start of the current window
	tokens       int
	missedTokens int
	intervalSum  time.Duration
	avoidedSince time.Time // when the upstream was found slow, zero if in use
}

// Limiter holds the concurrency limits of all upstreams. It is not safe for concurrent use.
type Limiter struct {
	config    Config
	upstreams []upstreamState
	index     map[string]int
}

// New returns a Limiter without upstreams.
func New(config Config) *Limiter {
	return &Limiter{config: config, index: map[string]int{}}
}

// Step applies a message. Messages about earlier incarnations are ignored.
func (l *Limiter) Step(now time.Time, m Message) {
	m.apply(l, now)
}

// Limit returns the concurrency limit of an upstream, or 0 if the upstream is unknown.
func (l *Limiter) Limit(name string) int {
	i, ok := l.index[name]
	if !ok {
		return 0
	}
	return l.upstreams[i].limit
}

// Tick evaluates complete windows, probes avoided upstreams and returns the changes.
func (l *Limiter) Tick(now time.Time) []Effect {
	var effects []Effect
	for i := range l.upstreams {
		state := &l.upstreams[i]
		if !state.avoidedSince.IsZero() {
			effects = append(effects, state.probe(now)...)
			continue
		}
		if now.Sub(state.windowStart) >= Window && state.tokens >= minWindowTokens {
			effects = append(effects, l.evaluateWindow(now, state)...)
		}
	}
	return effects
}

func (l *Limiter) find(u Upstream) *upstreamState {
	i, ok := l.index[u.Name]
	if !ok || l.upstreams[i].upstream != u {
		return nil
	}
	return &l.upstreams[i]
}

func (m UpstreamAdded) apply(l *Limiter, now time.Time) {
	i, ok := l.index[m.Upstream.Name]
	if !ok {
		i = len(l.upstreams)
		l.upstreams = append(l.upstreams, upstreamState{})
		l.index[m.Upstream.Name] = i
	}
	state := &l.upstreams[i]
	if ok && state.upstream.Incarnation >= m.Upstream.Incarnation {
		state.batchLimit = m.BatchLimit
		return
	}
	*state = upstreamState{upstream: m.Upstream, batchLimit: m.BatchLimit, limit: m.BatchLimit, windowStart: now}
}

func (m UpstreamRemoved) apply(l *Limiter, _ time.Time) {
	if l.find(m.Upstream) == nil {
		return
	}
	i := l.index[m.Upstream.Name]
	l.upstreams = slices.Delete(l.upstreams, i, i+1)
	delete(l.index, m.Upstream.Name)
	for k := i; k < len(l.upstreams); k++ {
		l.index[l.upstreams[k].upstream.Name] = k
	}
}

func (m Tokens) apply(l *Limiter, _ time.Time) {
	state := l.find(m.Upstream)
	if state == nil {
		return
	}
	state.tokens += m.Count
	state.intervalSum += m.Interval * time.Duration(m.Count)
	if m.Interval > l.config.Target {
		state.missedTokens += m.Count
	}
}

func (m Load) apply(l *Limiter, _ time.Time) {
	if state := l.find(m.Upstream); state != nil {
		state.peakRunning = max(state.peakRunning, m.Running)
	}
}

// evaluateWindow adjusts the limit from the current window and starts the next one.
func (l *Limiter) evaluateWindow(now time.Time, state *upstreamState) []Effect {
	mean := state.intervalSum / time.Duration(state.tokens)
	missedShare := float64(state.missedTokens) / float64(state.tokens)
	running := state.peakRunning
	state.resetWindow(now)
	before := state.limit
	switch {
	case missedShare > 1-l.config.Objective:
		state.lowerLimit(float64(l.config.Target)/float64(mean), running)
	case running >= float64(state.limit-1):
		state.limit = min(state.limit+1, state.batchLimit)
	}
	var effects []Effect
	if state.limit != before {
		effects = append(effects, Changed{Upstream: state.upstream, Limit: state.limit})
	}
	if state.limit == 1 && float64(mean) > slowFactor*float64(l.config.Target) {
		state.avoidedSince = now
		effects = append(effects, Slow{Upstream: state.upstream, Avoid: true})
	}
	return effects
}

func (state *upstreamState) resetWindow(now time.Time) {
	state.windowStart, state.tokens, state.missedTokens, state.intervalSum, state.peakRunning = now, 0, 0, 0, 0
}

// lowerLimit cuts the limit, or the concurrency in use if that is lower, by the ratio of target to measured latency.
func (state *upstreamState) lowerLimit(ratio, running float64) {
	ratio = min(max(ratio, minCutRatio), maxCutRatio)
	from := float64(state.limit)
	if running > 0 {
		from = min(from, running)
	}
	state.limit = max(int(from*ratio), 1)
}

// probe ends the avoidance of an upstream, whose limit is 1 at that time, after ProbeDelay.
func (state *upstreamState) probe(now time.Time) []Effect {
	if now.Sub(state.avoidedSince) < ProbeDelay {
		return nil
	}
	state.avoidedSince = time.Time{}
	state.resetWindow(now)
	return []Effect{Slow{Upstream: state.upstream}}
}
