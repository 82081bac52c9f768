package dispatcher

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// readers are the upstreams that the hash of a shared beginning names, so that VMs that know nothing of each other's
// requests send them to the same ones.
type readers struct {
	first, second *row
}

func readersOf(request Request, usable []*row) readers {
	var named readers
	if len(request.Parts) < 2 {
		return named
	}
	shared := request.Parts[len(request.Parts)-2].ID
	var highest, next uint64
	for _, r := range usable {
		weight := xxhash.Sum64String(shared + "/" + r.ID)
		switch {
		case named.first == nil || weight > highest:
			named.first, named.second = r, named.first
			highest, next = weight, highest
		case named.second == nil || weight > next:
			named.second, next = r, weight
		}
	}
	return named
}

// lacking is the part of a shared beginning that an upstream probably has to read.
func (n readers) lacking(r *row) float64 {
	switch r {
	case n.first:
		return firstReader
	case n.second:
		return secondReader
	}
	return 1
}

// uncached returns the prompt tokens that an upstream probably has to read: those of the request alone, and those of
// the beginning that it shares with others.
func (r *row) uncached(now time.Time, request Request, named readers) (own int, shared float64) {
	lacking := named.lacking(r)
	cached := true
	for i, part := range request.Parts {
		if i == len(request.Parts)-1 {
			return part.Tokens, shared
		}
		used, known := r.parts[part.ID]
		cached = cached && known && now.Sub(used) <= partMemory
		if !cached {
			shared += lacking * float64(part.Tokens)
		}
	}
	return 0, shared
}

// cost estimates in milliseconds the time to the first token and what the request costs the others; for a plain
// service it is the queue.
func (d *Dispatcher) cost(now time.Time, r *row, request Request, limits Limits, named readers) float64 {
	outstanding := float64(d.outstanding(now, r))
	beyond := max(0, outstanding+1-float64(r.Slots))
	if !limits.Engine {
		return outstanding/float64(max(r.Slots, 1)) + beyond
	}
	own, shared := r.uncached(now, request, named)
	wait := (float64(d.unread(r)+own) + rereadCost*shared) / readRate
	disturbed := (float64(own) + shared) / readRate * outstanding * disturbance
	if r.Zone != d.zone {
		wait += crossZone
	}
	return wait + disturbed + outstanding*runningCost + beyond*queuedCost
}

// hopeless reports whether the answer would probably end after its caller has left.
func (d *Dispatcher) hopeless(now time.Time, r *row, request Request, named readers) bool {
	if request.Remaining <= 0 {
		return false
	}
	own, shared := r.uncached(now, request, named)
	ends := (float64(d.unread(r)+own)+shared)/readRate + float64(request.MaxOutputTokens)*tokenTime
	return milliseconds(ends) > request.Remaining
}

func milliseconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Millisecond))
}
