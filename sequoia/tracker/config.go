package tracker

import (
	"cmp"
	"math/rand/v2"
	"time"
)

const (
	// DefaultProbeInterval and DefaultSuspectTimeout find a failed VM of a zone of 33 within a few seconds.
	DefaultProbeInterval = 500 * time.Millisecond
	// DefaultProbeTimeout is many round trips within an availability zone, so that a delayed packet is not a failure.
	DefaultProbeTimeout = 400 * time.Millisecond
	// DefaultSuspectTimeout leaves a slow VM several intervals to refute a suspicion.
	DefaultSuspectTimeout = 3 * time.Second
	// DefaultForgetAfter keeps dead rows long enough that old updates do not bring them back.
	DefaultTombstoneTimeout = 2 * time.Minute
	// DefaultAggregateInterval renews remote knowledge twice within its maximum age.
	DefaultAggregateInterval = 2 * time.Second
	// DefaultAggregateMaxAge is the age at which knowledge of another availability zone is no longer used.
	DefaultAggregateMaxAge = 5 * time.Second
)

const (
	// relayCount is the number of VMs asked to probe for us before a suspicion.
	relayCount = 2
	// updatesPerMessage bounds the size of a probe.
	updatesPerMessage = 6
	// aggregatesPerMessage bounds the size of a probe.
	aggregatesPerMessage = 3
	// speakerCount is the number of VMs of an availability zone that send its aggregate, so that one may fail.
	speakerCount = 2
	// aggregateMembers is the number of VMs that an aggregate names.
	aggregateMembers = 6
)

// Config holds the settings of a Tracker; zero durations take the defaults.
type Config struct {
	Self              Member
	Rand              *rand.Rand
	ProbeInterval     time.Duration
	ProbeTimeout      time.Duration
	SuspectTimeout    time.Duration
	TombstoneTimeout  time.Duration
	AggregateInterval time.Duration
	AggregateMaxAge   time.Duration
}

func (c Config) withDefaults() Config {
	c.ProbeInterval = cmp.Or(c.ProbeInterval, DefaultProbeInterval)
	c.ProbeTimeout = cmp.Or(c.ProbeTimeout, DefaultProbeTimeout)
	c.SuspectTimeout = cmp.Or(c.SuspectTimeout, DefaultSuspectTimeout)
	c.TombstoneTimeout = cmp.Or(c.TombstoneTimeout, DefaultTombstoneTimeout)
	c.AggregateInterval = cmp.Or(c.AggregateInterval, DefaultAggregateInterval)
	c.AggregateMaxAge = cmp.Or(c.AggregateMaxAge, DefaultAggregateMaxAge)
	return c
}
