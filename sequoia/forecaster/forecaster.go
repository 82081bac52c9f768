package forecaster

import (
	"math"
	"sort"
	"time"
)

// row is the demand and supply of one key.
type row struct {
	supply  Capacity
	profile profile
	need    int
	// lowerSince is when the need computed became lower than the need in force, and lowerMax the highest one since.
	lowerSince time.Time
	lowerMax   int
}

// Forecaster predicts the demand of each key.
type Forecaster struct {
	config Config
	rows   map[Key]*row
	keys   []Key
}

// New returns a forecaster without keys.
func New(config Config) *Forecaster {
	return &Forecaster{config: config.withDefaults(), rows: map[Key]*row{}}
}

// Step takes one message.
func (f *Forecaster) Step(now time.Time, m Message) []Effect {
	switch m := m.(type) {
	case Demand:
		f.row(m.Key).profile.observe(now, m.Rate)
	case Capacity:
		f.row(m.Key).supply = m
	}
	return nil
}

// Tick returns the needs that changed, in order of their keys.
func (f *Forecaster) Tick(now time.Time) []Effect {
	var effects []Effect
	for _, key := range f.keys {
		r := f.rows[key]
		if r.supply.PerUpstream <= 0 {
			continue
		}
		before := r.need
		f.update(now, r)
		if r.need != before || before == 0 {
			effects = append(effects, DesiredReplicas{Key: key, Count: r.need})
		}
	}
	return effects
}

// Forecast returns the demand expected for a key at a time, in tokens per second.
func (f *Forecaster) Forecast(now, at time.Time, key Key) float64 {
	r, ok := f.rows[key]
	if !ok {
		return 0
	}
	return r.profile.forecast(now, at)
}

func (f *Forecaster) row(key Key) *row {
	r, ok := f.rows[key]
	if ok {
		return r
	}
	r = &row{profile: newProfile(f.config)}
	f.rows[key] = r
	f.keys = append(f.keys, key)
	sort.Slice(f.keys, func(i, j int) bool { return f.keys[i].less(f.keys[j]) })
	return r
}

func (k Key) less(other Key) bool {
	if k.Model != other.Model {
		return k.Model < other.Model
	}
	return k.Zone < other.Zone
}

// update raises a need at once and lowers it only after the lower one has lasted.
func (f *Forecaster) update(now time.Time, r *row) {
	if r.need == 0 {
		r.need = r.supply.LoadedUpstreams
	}
	wanted := f.wanted(now, r)
	if wanted >= r.need {
		r.need = wanted
		r.lowerSince = time.Time{}
		return
	}
	if r.lowerSince.IsZero() {
		r.lowerSince = now
		r.lowerMax = wanted
	}
	r.lowerMax = max(r.lowerMax, wanted)
	if now.Sub(r.lowerSince) >= f.hold(now, r) {
		r.need = r.lowerMax
		r.lowerSince = time.Time{}
	}
}

func (f *Forecaster) hold(now time.Time, r *row) time.Duration {
	if _, known := r.profile.at(now); !known {
		return firstDayHold
	}
	return f.config.ScaleDownDelay
}

// wanted covers the highest demand until an order given a lead time from now could take effect.
func (f *Forecaster) wanted(now time.Time, r *row) int {
	peak := 0.0
	end := now.Add(r.supply.ColdStart + f.config.LeadTime)
	const steps = 4
	for i := range steps + 1 {
		at := now.Add(end.Sub(now) * time.Duration(i) / steps)
		peak = math.Max(peak, r.profile.forecast(now, at))
	}
	count := int(math.Ceil(peak * (1 + f.config.Headroom) / r.supply.PerUpstream))
	count = max(count, r.supply.MinUpstreams)
	if r.supply.MaxUpstreams > 0 {
		count = min(count, r.supply.MaxUpstreams)
	}
	return count
}
