package tracker

import (
	"cmp"
	"math/rand/v2"
	"time"
)

const (
	// DefaultProbeInterval is the time between two probes. Together with DefaultSuspectTimeout it detects a failed VM
	// within a few seconds in an availability zone of 33 VMs.
	DefaultProbeInterval = 500 * time.Millisecond
	// DefaultProbeTimeout is many round trips within an availability zone, so that a delayed packet does not count as
	// a failure.
	DefaultProbeTimeout = 400 * time.Millisecond
	// DefaultSuspectTimeout gives a slow VM several probe intervals to refute a suspicion.
	DefaultSuspectTimeout = 3 * time.Second
	// DefaultTombstoneTimeout keeps dead rows long enough that delayed updates do not revive them.
	DefaultTombstoneTimeout = 2 * time.Minute
	// DefaultAggregateInterval refreshes the aggregates of other zones twice within their maximum age.
	DefaultAggregateInterval = 2 * time.Second
	// DefaultAggregateMaxAge is the age at which the aggregate of another availability zone is discarded.
	DefaultAggregateMaxAge = 5 * time.Second
)

const (
	// indirectProbeCount is the number of relays that are asked to probe a member before it is suspected.
	indirectProbeCount = 2
	// updatesPerMessage limits the size of a probe.
	updatesPerMessage = 6
	// aggregatesPerMessage limits the size of a probe.
	aggregatesPerMessage = 3
	// aggregateSenders is the number of VMs of an availability zone that send its aggregate, so that one of them may
	// fail.
	aggregateSenders = 2
	// aggregateMembers is the maximum number of VMs that an aggregate names.
	aggregateMembers = 6
)

// Config holds the settings of a Tracker. Zero durations select the defaults.
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
