package retrier

import "time"

// fleetWindow is the time over which requests and retries of the fleet are compared.
const fleetWindow = 10 * time.Second

const fleetBuckets = 10

// window counts the requests and retries of the fleet in the last fleetWindow.
type window struct {
	buckets [fleetBuckets]bucket
	known   map[string]FleetReport // last report of each VM
}

type bucket struct {
	second   int64
	requests float64
	retries  float64
}

func newWindow() window {
	return window{known: map[string]FleetReport{}}
}

func (w *window) add(now time.Time, requests, retries float64) {
	second := now.Unix()
	b := &w.buckets[second%fleetBuckets]
	if b.second != second {
		*b = bucket{second: second}
	}
	b.requests += requests
	b.retries += retries
}

// report adds what a VM did since its last report; a VM that restarted counts from zero again.
func (w *window) report(now time.Time, m FleetReport) {
	last, ok := w.known[m.VM]
	w.known[m.VM] = m
	if !ok {
		return
	}
	if m.Requests < last.Requests || m.Retries < last.Retries {
		last = FleetReport{}
	}
	w.add(now, float64(m.Requests-last.Requests), float64(m.Retries-last.Retries))
}

// exceeds reports whether one more retry would exceed the fleet's budget.
func (w *window) exceeds(now time.Time, c Config) bool {
	var requests, retries float64
	oldest := now.Add(-fleetWindow).Unix()
	for _, b := range w.buckets {
		if b.second > oldest {
			requests += b.requests
			retries += b.retries
		}
	}
	return retries+1 > requests*c.FleetRatio+c.Burst
}
