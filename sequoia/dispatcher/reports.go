package dispatcher

import "time"

// Reports is what a VM tells the others of the region about what upstreams stated.
type Reports struct {
	Limits  map[UpstreamKey]LimitReport
	Leaving LeavingReports
	// Restarts names the upstreams that the VM cannot connect to.
	Restarts RestartReports
}

// LocalReports returns what this VM tells the others of the region.
func (d *Dispatcher) LocalReports(now time.Time) Reports {
	return Reports{Limits: d.LocalLimits(now), Leaving: d.LocalLeaving(now), Restarts: d.LocalRestarts(now)}
}
