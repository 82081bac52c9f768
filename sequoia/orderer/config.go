package orderer

import (
	"cmp"
	"time"
)

const (
	// DefaultLease is the time after its request was sent during which a granted or renewed lease may be used.
	DefaultLease = 5 * time.Second
	// DefaultRenewInterval gives several attempts within a lease.
	DefaultRenewInterval = time.Second
	// DefaultSendBound is the longest time from starting to send an order to its end or cancellation.
	DefaultSendBound = 2 * time.Second
	// DefaultDriftBound is the largest assumed difference between the rates of two VMs' clocks, as a share.
	DefaultDriftBound = 0.01
	// DefaultRetryDelay is the least time between two orders for the same upstream and model.
	DefaultRetryDelay = 2 * time.Second
	// DefaultLoadLimit is the number of loads that may run at once, since all share the weight store's rate.
	DefaultLoadLimit = 4
	// DefaultUnloadInterval is the least time between two orders to unload, so that gateways learn of each before the next.
	DefaultUnloadInterval = 5 * time.Second
)

// Config holds the settings of an Orderer; zero values take the defaults. Self must differ between incarnations of the
// same controller, so that one that restarts counts as a new holder.
type Config struct {
	Self          string
	Lease         time.Duration
	RenewInterval time.Duration
	SendBound     time.Duration
	DriftBound    float64
	RetryDelay    time.Duration
	LoadLimit     int
	// UnloadInterval applies to all upstreams together.
	UnloadInterval time.Duration
	// TakeoverDelay is added before taking the lease over, different at each controller, so that they do not race.
	TakeoverDelay time.Duration
}

func (c Config) withDefaults() Config {
	c.Lease = cmp.Or(c.Lease, DefaultLease)
	c.RenewInterval = cmp.Or(c.RenewInterval, DefaultRenewInterval)
	c.SendBound = cmp.Or(c.SendBound, DefaultSendBound)
	c.DriftBound = cmp.Or(c.DriftBound, DefaultDriftBound)
	c.RetryDelay = cmp.Or(c.RetryDelay, DefaultRetryDelay)
	c.LoadLimit = cmp.Or(c.LoadLimit, DefaultLoadLimit)
	c.UnloadInterval = cmp.Or(c.UnloadInterval, DefaultUnloadInterval)
	return c
}

// quietPeriod is how long a new holder waits before its first order to an upstream that ignores fencing numbers: the
// previous holder's lease and one send bound for bytes still on their way, by a clock that is fast while the other
// clock was slow.
func (c Config) quietPeriod() time.Duration {
	span := c.Lease + c.SendBound
	drift := time.Duration(2 * c.DriftBound * float64(span))
	return span + drift
}
