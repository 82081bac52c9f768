package forecaster

import (
	"cmp"
	"time"
)

const (
	// DefaultSlot divides the day finely enough for peaks that last an hour.
	DefaultSlot = 15 * time.Minute
	// DefaultHeadroom covers the demand within a slot that is above its mean.
	DefaultHeadroom = 0.08
	// DefaultHold is how long a lower need must last before upstreams are given up; it is longer than a cold start, so
	// that a short dip does not end in one.
	DefaultScaleDownDelay = 8 * time.Minute
	// DefaultLead is the time before a need, beside the cold start, at which it is ordered.
	DefaultLeadTime = 3 * time.Minute
	// DefaultWeight is the weight of the newest day in the profile of the day.
	DefaultSmoothingFactor = 0.3
)

const (
	day = 24 * time.Hour
	// levelWindow is the time over which today's demand is compared with the profile.
	levelWindow = time.Hour
	// levelMin and levelMax bound the correction by today's level, so that one odd hour cannot order a whole fleet.
	levelMin = 0.5
	levelMax = 2.0
	// firstDayHold replaces the hold while no earlier day is known, since a falling mean may then be a dip.
	firstDayHold = time.Hour
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
