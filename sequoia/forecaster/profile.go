package forecaster

import (
	"math"
	"time"
)

// slot is the mean demand of one part of the day.
type slot struct {
	mean  float64
	known bool
}

// profile is the demand of a key by time of day, with the part of today that is under way.
type profile struct {
	config Config
	slots  []slot
	// start, sum and count describe the slot under way.
	start time.Time
	sum   float64
	count int
	// level compares the demand of the last hour with the profile.
	level    float64
	recent   float64
	observed bool
}

func newProfile(config Config) profile {
	return profile{config: config, slots: make([]slot, int(day/config.Slot)), level: 1}
}

func (p *profile) observe(now time.Time, rate float64) {
	start := now.Truncate(p.config.Slot)
	if !p.start.Equal(start) {
		p.closeSlot()
		p.start = start
	}
	p.sum += rate
	p.count++
	p.recent = blend(p.recent, rate, p.observed, p.stepWeight())
	p.updateLevel(now, rate)
	p.observed = true
}

// stepWeight spreads one observation over the level window, for one observation per minute.
func (p *profile) stepWeight() float64 {
	const observationsPerWindow = float64(levelWindow / time.Minute)
	return 2 / (observationsPerWindow + 1)
}

func (p *profile) updateLevel(now time.Time, rate float64) {
	expected, known := p.at(now)
	if !known || expected <= 0 {
		return
	}
	ratio := math.Min(math.Max(rate/expected, levelMin), levelMax)
	p.level = blend(p.level, ratio, true, p.stepWeight())
}

func blend(before, value float64, known bool, weight float64) float64 {
	if !known {
		return value
	}
	return before + weight*(value-before)
}

func (p *profile) closeSlot() {
	if p.count == 0 {
		return
	}
	s := &p.slots[p.index(p.start)]
	s.mean = blend(s.mean, p.sum/float64(p.count), s.known, p.config.SmoothingFactor)
	s.known = true
	p.sum, p.count = 0, 0
}

func (p *profile) index(at time.Time) int {
	sinceMidnight := at.Sub(at.Truncate(day))
	return int(sinceMidnight/p.config.Slot) % len(p.slots)
}

// at interpolates between the middles of neighbouring slots.
func (p *profile) at(t time.Time) (float64, bool) {
	shifted := t.Add(-p.config.Slot / 2)
	first := p.index(shifted)
	second := (first + 1) % len(p.slots)
	if !p.slots[first].known || !p.slots[second].known {
		return 0, false
	}
	share := float64(shifted.Sub(shifted.Truncate(p.config.Slot))) / float64(p.config.Slot)
	return p.slots[first].mean*(1-share) + p.slots[second].mean*share, true
}

// forecast uses the profile at today's level, and the recent demand where no day is known yet.
func (p *profile) forecast(now, at time.Time) float64 {
	expected, known := p.at(at)
	if !known {
		return p.recent
	}
	if at.Sub(now) < p.config.Slot {
		// Soon after now, what arrives counts more than what earlier days had.
		return math.Max(expected*p.level, p.recent*expected/math.Max(p.expectedNow(now), 1))
	}
	return expected * p.level
}

func (p *profile) expectedNow(now time.Time) float64 {
	expected, _ := p.at(now)
	return expected
}
