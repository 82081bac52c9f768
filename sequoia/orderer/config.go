package orderer

import (
	"cmp"
	"time"
)

const (
	// DefaultLease is the time after its request was sent during which a granted or renewed lease may be used.
	DefaultLeaseDuration = 5 * time.Second
	// DefaultRenewInterval gives several attempts within a lease.
	DefaultRenewInterval = time.Second
	// DefaultSendBound is the longest time from starting to send an order to its end or cancellation.
	DefaultSendTimeout = 2 * time.Second
	// DefaultDriftBound is the largest assumed difference between the rates of two VMs' clocks, as a share.
	DefaultMaxClockDrift = 0.01
	// DefaultRetryDelay is the least time between two orders for the same upstream and model.
	DefaultRetryDelay = 2 * time.Second
	// DefaultLoadLimit is the number of loads that may run at once, since all share the weight store's rate.
	DefaultMaxConcurrentLoads = 4
	// DefaultUnloadInterval is the least time between two orders to unload, so that gateways learn of each before the next.
	DefaultUnloadInterval = 5 * time.Second
)

// Config holds the settings of an Orderer; zero values take the defaults. Self must differ between incarnations of the
// same controller, so that one that restarts counts as a new holder.
type Config struct {
	HolderID           string
	LeaseDuration      time.Duration
	RenewInterval      time.Duration
	SendTimeout        time.Duration
	MaxClockDrift      float64
	RetryDelay         time.Duration
	MaxConcurrentLoads int
	// UnloadInterval applies to all upstreams together.
	UnloadInterval time.Duration
	// TakeoverDelay is added before taking the lease over, different at each controller, so that they do not race.
	TakeoverDelay time.Duration
}

func (c Config) withDefaults() Config {
	c.LeaseDuration = cmp.Or(c.LeaseDuration, DefaultLeaseDuration)
	c.RenewInterval = cmp.Or(c.RenewInterval, DefaultRenewInterval)
	c.SendTimeout = cmp.Or(c.SendTimeout, DefaultSendTimeout)
	c.MaxClockDrift = cmp.Or(c.MaxClockDrift, DefaultMaxClockDrift)
	c.RetryDelay = cmp.Or(c.RetryDelay, DefaultRetryDelay)
	c.MaxConcurrentLoads = cmp.Or(c.MaxConcurrentLoads, DefaultMaxConcurrentLoads)
	c.UnloadInterval = cmp.Or(c.UnloadInterval, DefaultUnloadInterval)
	return c
}

// quietPeriod is how long a new holder waits before its first order to an upstream that ignores fencing numbers: the
// previous holder's lease and one send bound for bytes still on their way, by a clock that is fast while the other
// clock was slow.
func (c Config) quietPeriod() time.Duration {
	span := c.LeaseDuration + c.SendTimeout
	drift := time.Duration(2 * c.MaxClockDrift * float64(span))
	return span + drift
}
