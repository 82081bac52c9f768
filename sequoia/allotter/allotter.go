package allotter

import "sync"

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

// Holder is whose bodies are kept.
type Holder struct {
	name  string
	share float64
}

// Caller returns the holder of the requests of a caller.
func Caller(name string) Holder {
	return Holder{name: name, share: callerShare}
}

// Upstream returns the holder of the responses of an upstream.
func Upstream(id string) Holder {
	return Holder{name: id, share: upstreamShare}
}

// Allotter holds what is reserved.
type Allotter struct {
	bytes int64

	mu   sync.Mutex
	used int64
	// large holds what the larger bodies of each holder use, and largeUsed their sum.
	large     map[Holder]int64
	largeUsed int64
}

// New returns an allotter of a number of bytes.
func New(bytes int64) *Allotter {
	return &Allotter{bytes: bytes, large: map[Holder]int64{}}
}

// Used returns the number of bytes that are reserved.
func (a *Allotter) Used() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.used
}

// Reservation is the memory of one body.
type Reservation struct {
	allotter *Allotter
	holder   Holder
	bytes    int64
}

// Reserve returns an empty reservation.
func (a *Allotter) Reserve(holder Holder) *Reservation {
	return &Reservation{allotter: a, holder: holder}
}

// Grow raises the reservation to a number of bytes, and reports whether there is as much.
func (r *Reservation) Grow(bytes int64) bool {
	if bytes <= r.bytes {
		return true
	}
	a := r.allotter
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.fits(r, bytes) {
		return false
	}
	a.set(r, bytes)
	return true
}

// Release ends the reservation. It has no effect on one that is empty.
func (r *Reservation) Release() {
	r.allotter.mu.Lock()
	defer r.allotter.mu.Unlock()
	r.allotter.set(r, 0)
}

// fits reports whether a reservation may be raised. The lock must be held.
func (a *Allotter) fits(r *Reservation, bytes int64) bool {
	if a.used+bytes-r.bytes > a.bytes {
		return false
	}
	added := largeBytes(bytes) - largeBytes(r.bytes)
	return added == 0 ||
		a.largeUsed+added <= a.share(largeShare) && a.large[r.holder]+added <= a.share(r.holder.share)
}

// set changes a reservation. The lock must be held.
func (a *Allotter) set(r *Reservation, bytes int64) {
	added := largeBytes(bytes) - largeBytes(r.bytes)
	a.used += bytes - r.bytes
	a.largeUsed += added
	a.large[r.holder] += added
	if a.large[r.holder] == 0 {
		delete(a.large, r.holder)
	}
	r.bytes = bytes
}

func (a *Allotter) share(share float64) int64 {
	return int64(share * float64(a.bytes))
}

// largeBytes returns the size of a body if it counts as a large one.
func largeBytes(bytes int64) int64 {
	if bytes <= SmallBytes {
		return 0
	}
	return bytes
}
