package forecaster

import (
	"math"
	"sort"
	"time"
)

// keyState is the demand, the capacity and the desired count of one key.
type keyState struct {
	capacity Capacity
	profile  profile
	desired  int
	// belowSince is when the computed count fell below the desired count, and maxSinceBelow the highest computed count
	// since then.
	belowSince    time.Time
	maxSinceBelow int
}

// Forecaster predicts the demand of each key and computes its desired number of upstreams.
type Forecaster struct {
	config Config
	states map[Key]*keyState
	keys   []Key
}

// New returns a forecaster without keys.
func New(config Config) *Forecaster {
	return &Forecaster{config: config.withDefaults(), states: map[Key]*keyState{}}
}

// Step handles one message. It returns no effects; those come from Tick.
func (f *Forecaster) Step(now time.Time, m Message) []Effect {
	switch m := m.(type) {
	case Demand:
		f.state(m.Key).profile.observe(now, m.Rate)
	case Capacity:
		f.state(m.Key).capacity = m
	}
	return nil
}

// Tick returns the desired counts that changed, sorted by key.
func (f *Forecaster) Tick(now time.Time) []Effect {
	var effects []Effect
	for _, key := range f.keys {
		state := f.states[key]
		if state.capacity.PerUpstream <= 0 {
			continue
		}
		previous := state.desired
		f.update(now, state)
		if state.desired != previous || previous == 0 {
			effects = append(effects, DesiredReplicas{Key: key, Count: state.desired})
		}
	}
	return effects
}

// Forecast returns the expected demand of a key at a time, in tokens per second.
func (f *Forecaster) Forecast(now, at time.Time, key Key) float64 {
	state, ok := f.states[key]
	if !ok {
		return 0
	}
	return state.profile.forecast(now, at)
}

func (f *Forecaster) state(key Key) *keyState {
	state, ok := f.states[key]
	if ok {
		return state
	}
	state = &keyState{profile: newProfile(f.config)}
	f.states[key] = state
	f.keys = append(f.keys, key)
	sort.Slice(f.keys, func(i, j int) bool { return f.keys[i].less(f.keys[j]) })
	return state
}

func (k Key) less(other Key) bool {
	if k.Model != other.Model {
		return k.Model < other.Model
	}
	return k.Zone < other.Zone
}

// update raises the desired count at once and lowers it only after the scale-down delay.
func (f *Forecaster) update(now time.Time, state *keyState) {
	if state.desired == 0 {
		state.desired = state.capacity.LoadedUpstreams
	}
	desired := f.desiredCount(now, state)
	if desired >= state.desired {
		state.desired = desired
		state.belowSince = time.Time{}
		return
	}
	if state.belowSince.IsZero() {
		state.belowSince = now
		state.maxSinceBelow = desired
	}
	state.maxSinceBelow = max(state.maxSinceBelow, desired)
	if now.Sub(state.belowSince) >= f.scaleDownDelay(now, state) {
		state.desired = state.maxSinceBelow
		state.belowSince = time.Time{}
	}
}

func (f *Forecaster) scaleDownDelay(now time.Time, state *keyState) time.Duration {
	if _, known := state.profile.expectedAt(now); !known {
		return firstDayScaleDownDelay
	}
	return f.config.ScaleDownDelay
}

// desiredCount covers the highest demand until an order that is sent a lead time from now could take effect.
func (f *Forecaster) desiredCount(now time.Time, state *keyState) int {
	peak := 0.0
	end := now.Add(state.capacity.ColdStart + f.config.LeadTime)
	const steps = 4
	for i := range steps + 1 {
		at := now.Add(end.Sub(now) * time.Duration(i) / steps)
		peak = math.Max(peak, state.profile.forecast(now, at))
	}
	count := int(math.Ceil(peak * (1 + f.config.Headroom) / state.capacity.PerUpstream))
	count = max(count, state.capacity.MinUpstreams)
	if state.capacity.MaxUpstreams > 0 {
		count = min(count, state.capacity.MaxUpstreams)
	}
	return count
}
