package retrier

import "time"

// fleetWindowLength is the period over which the fleet's retries are compared with its requests.
const fleetWindowLength = 10 * time.Second

const fleetBuckets = 10

// fleetWindow counts the requests and retries of the fleet over the last fleetWindowLength.
type fleetWindow struct {
	buckets     [fleetBuckets]bucket
	lastReports map[string]FleetReport // by VM
}

type bucket struct {
	second   int64
	requests float64
	retries  float64
}

func newFleetWindow() fleetWindow {
	return fleetWindow{lastReports: map[string]FleetReport{}}
}

func (w *fleetWindow) add(now time.Time, requests, retries float64) {
	second := now.Unix()
	b := &w.buckets[second%fleetBuckets]
	if b.second != second {
		*b = bucket{second: second}
	}
	b.requests += requests
	b.retries += retries
}

// report adds the requests and retries of a VM since its last report. Lower totals mean that the VM has restarted and
// counts from zero.
func (w *fleetWindow) report(now time.Time, m FleetReport) {
	last, ok := w.lastReports[m.VM]
	w.lastReports[m.VM] = m
	if !ok {
		return
	}
	if m.Requests < last.Requests || m.Retries < last.Retries {
		last = FleetReport{}
	}
	w.add(now, float64(m.Requests-last.Requests), float64(m.Retries-last.Retries))
}

// exceedsBudget reports whether one more retry would exceed the fleet's retry budget.
func (w *fleetWindow) exceedsBudget(now time.Time, c Config) bool {
	var requests, retries float64
	oldest := now.Add(-fleetWindowLength).Unix()
	for _, b := range w.buckets {
		if b.second > oldest {
			requests += b.requests
			retries += b.retries
		}
	}
	return retries+1 > requests*c.FleetRatio+c.Burst
}
