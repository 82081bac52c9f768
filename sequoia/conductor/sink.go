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
func (s sink) Report(load dispatcher.Load) {
	s.conductor.config.Answerer.Report(load)
}

// Reporting returns the upstreams that run models: the load of others shows in their answers.
func (s sink) Reporting() []dispatcher.Upstream {
	table := s.conductor.config.Answerer.Table()
	if table == nil {
		return nil
	}
	var list []dispatcher.Upstream
	for _, upstream := range s.conductor.config.Answerer.Upstreams() {
		if service, ok := table.Service(upstream.Service); ok && service.Engine != nil {
			list = append(list, upstream)
		}
	}
	return list
}

// Sharers is the number of entry VMs that read the list.
func (s sink) Sharers() int {
	return s.conductor.config.Answerer.Peered()
}
