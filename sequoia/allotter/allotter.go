package allotter

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// SmallBytes is the size up to which a body may use all of the memory. Nearly all are smaller.
	SmallBytes = 64 << 10
	// largeShare is the share of the memory that all larger bodies get together.
	largeShare = 0.75
	// callerShare and upstreamShare are the shares of the memory that the larger bodies of one caller and of one upstream
	// get.
	callerShare   = 0.6
	upstreamShare = 0.25
)

// Holder is on whose behalf memory is reserved.
type Holder struct {
	name  string
	share float64
}

// Caller returns the holder of the connections and requests of a source address.
func Caller(name string) Holder {
	return Holder{name: name, share: callerShare}
}

// Upstream returns the holder of the responses of an upstream.
func Upstream(id string) Holder {
	return Holder{name: id, share: upstreamShare}
}

// Config holds the settings of an Allotter.
type Config struct {
	// Bytes is the memory of the account.
	Bytes int64
	// Now returns the time by which lags are judged; nil selects time.Now.
	Now func() time.Time
}

// Allotter holds what is reserved.
type Allotter struct {
	config Config

	mu   sync.Mutex
	used int64
	// holders holds what each holder uses, and largeUsed what the larger bodies of all of them use.
	holders   map[Holder]*usage
	largeUsed int64
	// reclaimable is the ring of the reclaimable reservations, those that wait longest first.
	reclaimable Reservation
	// noneBefore is the earliest time at which a reservation can be reclaimed, as far as the last search showed.
	noneBefore time.Time
}

// usage is what one holder uses: in all, and for larger bodies.
type usage struct {
	bytes, large int64
}

// New returns an allotter without reservations.
func New(config Config) *Allotter {
	if config.Now == nil {
		config.Now = time.Now
	}
	a := &Allotter{config: config, holders: map[Holder]*usage{}}
	a.reclaimable.next, a.reclaimable.previous = &a.reclaimable, &a.reclaimable
	return a
}

// Used returns the number of bytes that are reserved.
func (a *Allotter) Used() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.used
}

// Reservation is the memory of one body, header block or connection.
type Reservation struct {
	allotter *Allotter
	holder   Holder
	bytes    int64
	// usage is that of the holder, as long as the reservation is not empty.
	usage *usage
	// reclaimed is set for good once the memory was given to others.
	reclaimed bool
	// onReclaim is set while the reservation is reclaimable, since a time and with the bytes transferred after it.
	onReclaim   func()
	since       time.Time
	transferred atomic.Int64
	// next and previous are the neighbours in the ring of reclaimable reservations.
	next, previous *Reservation
}

// Reserve returns an empty reservation.
func (a *Allotter) Reserve(holder Holder) *Reservation {
	return &Reservation{allotter: a, holder: holder}
}

// Grow raises the reservation to a number of bytes, and reports whether there is as much. If there is not, it reclaims
// other reservations, and calls their functions before it returns. It fails if the reservation itself was reclaimed,
// which it does without calling its function.
func (r *Reservation) Grow(bytes int64) bool {
	a := r.allotter
	a.mu.Lock()
	if r.reclaimed || bytes <= r.bytes {
		defer a.mu.Unlock()
		return !r.reclaimed
	}
	var calls []func()
	fits := a.missing(r, bytes) == shortage{}
	if !fits {
		calls, fits = a.makeRoom(r, bytes)
	}
	if fits {
		a.set(r, bytes)
	}
	a.mu.Unlock()
	for _, call := range calls {
		call()
	}
	return fits
}

// Release ends the reservation. It has no effect on one that is empty.
func (r *Reservation) Release() {
	r.allotter.mu.Lock()
	defer r.allotter.mu.Unlock()
	r.setBusy()
	r.allotter.set(r, 0)
}

// shortage is by how many bytes a growth exceeds the whole memory, the share of all larger bodies and that of the holder.
type shortage struct {
	total, large, holder int64
}

// missing returns what a reservation lacks to be raised. The lock must be held.
func (a *Allotter) missing(r *Reservation, bytes int64) shortage {
	lack := shortage{total: max(0, a.used+bytes-r.bytes-a.config.Bytes)}
	if added := largeBytes(bytes) - largeBytes(r.bytes); added > 0 {
		lack.large = max(0, a.largeUsed+added-a.share(largeShare))
		lack.holder = max(0, a.usageOf(r).large+added-a.share(r.holder.share))
	}
	return lack
}

// set changes a reservation. The lock must be held.
func (a *Allotter) set(r *Reservation, bytes int64) {
	added := largeBytes(bytes) - largeBytes(r.bytes)
	a.used += bytes - r.bytes
	a.largeUsed += added
	usage := a.usageOf(r)
	usage.bytes += bytes - r.bytes
	usage.large += added
	r.bytes, r.usage = bytes, usage
	if bytes == 0 {
		r.usage = nil
	}
	if usage.bytes == 0 {
		delete(a.holders, r.holder)
	} else if a.holders[r.holder] == nil {
		a.holders[r.holder] = usage
	}
}

// usageOf returns what the holder of a reservation uses. The lock must be held.
func (a *Allotter) usageOf(r *Reservation) *usage {
	if r.usage != nil {
		return r.usage
	}
	if usage, ok := a.holders[r.holder]; ok {
		return usage
	}
	return &usage{}
}

func (a *Allotter) share(share float64) int64 {
	return int64(share * float64(a.config.Bytes))
}

// largeBytes returns the size of a body if it counts as a large one.
func largeBytes(bytes int64) int64 {
	if bytes <= SmallBytes {
		return 0
	}
	return bytes
}
