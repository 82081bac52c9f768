package conductor

import (
	"sequoiaspread.example/sequoia/dispatcher"
)

// sink gives what the watcher reads to the answerer.
type sink struct {
	conductor *Conductor
}

// SetUpstreams takes over the list.
func (s sink) SetUpstreams(list []dispatcher.Upstream) {
	s.conductor.config.Answerer.SetUpstreams(list)
}

// Report takes in a load.
func (s sink) SetLoad(load dispatcher.Load) {
	s.conductor.config.Answerer.RecordLoad(load)
}

// Reporting returns the upstreams that run models while another entry VM of the region is silent; else the VMs know
// from each other what every upstream has.
func (s sink) UpstreamsToPoll() []dispatcher.Upstream {
	answers := s.conductor.config.Answerer
	table := answers.Table()
	if table == nil || !answers.HasStalePeer() {
		return nil
	}
	var list []dispatcher.Upstream
	for _, upstream := range answers.Upstreams() {
		if service, ok := table.Service(upstream.Service); ok && service.Engine != nil {
			list = append(list, upstream)
		}
	}
	return list
}

// ListNeeded is true while no coordinator of the region passes the list on.
func (s sink) NeedsList() bool {
	return s.conductor.report.listMissing()
}

// Sharers is the number of entry VMs that may read the list.
func (s sink) ListReaders() int {
	return s.conductor.config.Answerer.FleetSize()
}
