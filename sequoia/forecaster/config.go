package forecaster

import (
	"cmp"
	"time"
)

const (
	// DefaultSlot is short enough to resolve peaks that last an hour.
	DefaultSlot = 15 * time.Minute
	// DefaultHeadroom is the spare capacity, as a fraction, for demand within a slot that is above the slot's mean.
	DefaultHeadroom = 0.08
	// DefaultScaleDownDelay is how long the desired count must stay lower before upstreams are released. It is longer
	// than a cold start, so that a short dip does not cause one.
	DefaultScaleDownDelay = 8 * time.Minute
	// DefaultLeadTime is how far ahead of the demand upstreams are requested, in addition to the cold start.
	DefaultLeadTime = 3 * time.Minute
	// DefaultSmoothingFactor is the weight of the newest day in the exponential moving average of each slot.
	DefaultSmoothingFactor = 0.3
)

const (
	day = 24 * time.Hour
	// levelWindow is the period over which today's demand is compared with the profile.
	levelWindow = time.Hour
	// minLevel and maxLevel limit the correction by today's level, so that one unusual hour cannot request a whole
	// fleet.
	minLevel = 0.5
	maxLevel = 2.0
	// firstDayScaleDownDelay is the scale-down delay while no earlier day is known, since a falling mean may then be
	// only a dip.
	firstDayScaleDownDelay = time.Hour
)

// Config holds the settings of a Forecaster; zero values take the defaults.
type Config struct {
	Slot            time.Duration
	Headroom        float64
	ScaleDownDelay  time.Duration
	LeadTime        time.Duration
	SmoothingFactor float64
}

func (c Config) withDefaults() Config {
	c.Slot = cmp.Or(c.Slot, DefaultSlot)
	c.Headroom = cmp.Or(c.Headroom, DefaultHeadroom)
	c.ScaleDownDelay = cmp.Or(c.ScaleDownDelay, DefaultScaleDownDelay)
	c.LeadTime = cmp.Or(c.LeadTime, DefaultLeadTime)
	c.SmoothingFactor = cmp.Or(c.SmoothingFactor, DefaultSmoothingFactor)
	return c
}
