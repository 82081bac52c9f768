package forecaster

import (
	"math"
	"time"
)

// slot is the mean demand of one slot of the day, in tokens per second.
type slot struct {
	mean  float64
	known bool
}

// profile is the demand of a key by time of day, with the current slot.
type profile struct {
	config Config
	slots  []slot
	// slotStart, slotSum and slotCount describe the current slot.
	slotStart time.Time
	slotSum   float64
	slotCount int
	// level is the ratio of the demand of the last hour to the profile.
	level         float64
	recentRate    float64
	hasRecentRate bool
}

func newProfile(config Config) profile {
	return profile{config: config, slots: make([]slot, int(day/config.Slot)), level: 1}
}

func (p *profile) observe(now time.Time, rate float64) {
	start := now.Truncate(p.config.Slot)
	if !p.slotStart.Equal(start) {
		p.closeSlot()
		p.slotStart = start
	}
	p.slotSum += rate
	p.slotCount++
	p.recentRate = movingAverage(p.recentRate, rate, p.hasRecentRate, p.levelSmoothingFactor())
	p.updateLevel(now, rate)
	p.hasRecentRate = true
}

// levelSmoothingFactor is the smoothing factor of a moving average over levelWindow with one observation per minute.
func (p *profile) levelSmoothingFactor() float64 {
	const observationsPerWindow = float64(levelWindow / time.Minute)
	return 2 / (observationsPerWindow + 1)
}

func (p *profile) updateLevel(now time.Time, rate float64) {
	expected, known := p.expectedAt(now)
	if !known || expected <= 0 {
		return
	}
	ratio := math.Min(math.Max(rate/expected, minLevel), maxLevel)
	p.level = movingAverage(p.level, ratio, true, p.levelSmoothingFactor())
}

func movingAverage(average, value float64, known bool, smoothingFactor float64) float64 {
	if !known {
		return value
	}
	return average + smoothingFactor*(value-average)
}

func (p *profile) closeSlot() {
	if p.slotCount == 0 {
		return
	}
	s := &p.slots[p.slotIndex(p.slotStart)]
	s.mean = movingAverage(s.mean, p.slotSum/float64(p.slotCount), s.known, p.config.SmoothingFactor)
	s.known = true
	p.slotSum, p.slotCount = 0, 0
}

func (p *profile) slotIndex(at time.Time) int {
	sinceMidnight := at.Sub(at.Truncate(day))
	return int(sinceMidnight/p.config.Slot) % len(p.slots)
}

// expectedAt interpolates the demand between the middles of neighbouring slots. It reports false if either is unknown.
func (p *profile) expectedAt(t time.Time) (float64, bool) {
	shifted := t.Add(-p.config.Slot / 2)
	first := p.slotIndex(shifted)
	second := (first + 1) % len(p.slots)
	if !p.slots[first].known || !p.slots[second].known {
		return 0, false
	}
	share := float64(shifted.Sub(shifted.Truncate(p.config.Slot))) / float64(p.config.Slot)
	return p.slots[first].mean*(1-share) + p.slots[second].mean*share, true
}

// forecast returns the profile's demand scaled by today's level, or the recent demand if no earlier day is known.
func (p *profile) forecast(now, at time.Time) float64 {
	expected, known := p.expectedAt(at)
	if !known {
		return p.recentRate
	}
	if at.Sub(now) < p.config.Slot {
		// In the near future the recent demand is a better predictor than the demand of earlier days.
		return math.Max(expected*p.level, p.recentRate*expected/math.Max(p.expectedNow(now), 1))
	}
	return expected * p.level
}

func (p *profile) expectedNow(now time.Time) float64 {
	expected, _ := p.expectedAt(now)
	return expected
}
