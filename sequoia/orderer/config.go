package orderer

import (
	"cmp"
	"time"
)

const (
	// DefaultLeaseDuration is how long a lease is valid, from the time at which its request or renewal was sent.
	DefaultLeaseDuration = 5 * time.Second
	// DefaultRenewInterval allows several renewal attempts within a lease.
	DefaultRenewInterval = time.Second
	// DefaultSendTimeout is the longest time from the start of sending an order to its end or cancellation.
	DefaultSendTimeout = 2 * time.Second
	// DefaultMaxClockDrift is the largest assumed difference between the rates of two VMs' clocks, as a fraction.
	DefaultMaxClockDrift = 0.01
	// DefaultRetryDelay is the minimum time between two orders for the same upstream and model.
	DefaultRetryDelay = 2 * time.Second
	// DefaultMaxConcurrentLoads limits concurrent loads, because all loads share the bandwidth of the weight store.
	DefaultMaxConcurrentLoads = 4
	// DefaultUnloadInterval is the minimum time between two unload orders, so that gateways learn of each before the
	// next.
	DefaultUnloadInterval = 5 * time.Second
)

// Config holds the settings of an Orderer; zero values take the defaults. HolderID must differ between incarnations of
// the same controller, so that a restarted controller counts as a new holder of the lease.
type Config struct {
	HolderID           string
	LeaseDuration      time.Duration
	RenewInterval      time.Duration
	SendTimeout        time.Duration
	MaxClockDrift      float64
	RetryDelay         time.Duration
	MaxConcurrentLoads int
	// UnloadInterval applies to all upstreams together, not to each.
	UnloadInterval time.Duration
	// TakeoverDelay is waited in addition before the lease is taken over. It differs between controllers, so that they
	// do not race.
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

// previousLeaseWait is how long a new holder waits before its first order to an upstream that does not check fencing
// tokens: the previous holder's lease, and one send timeout for bytes that are still in flight. It allows for a fast
// clock here and a slow clock at the previous holder.
func (c Config) previousLeaseWait() time.Duration {
	span := c.LeaseDuration + c.SendTimeout
	drift := time.Duration(2 * c.MaxClockDrift * float64(span))
	return span + drift
}
