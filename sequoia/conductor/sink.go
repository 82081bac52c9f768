package conductor

import (
	"time"

	"sequoiaspread.example/sequoia/dispatcher"
)

// upstreamSink passes the data read by the watcher to the answerer.
type upstreamSink struct {
	conductor *Conductor
}

// SetUpstreams replaces the list of upstreams.
func (s upstreamSink) SetUpstreams(list []dispatcher.Upstream, readAt time.Time) {
	s.conductor.heartbeats.setOwnList(list, readAt)
}

// SetLoad records the load of an upstream.
func (s upstreamSink) SetLoad(load dispatcher.Load) {
	s.conductor.config.Answerer.RecordLoad(load)
}

// UpstreamsToPoll returns the upstreams that run models while the load update of another entry VM of the region is
// overdue, without those that are leaving or asked for a wait. Otherwise the load updates of the VMs cover every upstream,
// and only those that may have restarted are asked.
func (s upstreamSink) UpstreamsToPoll() []dispatcher.Upstream {
	answerer := s.conductor.config.Answerer
	table := answerer.Table()
	if table == nil {
		return nil
	}
	candidates := answerer.SuspectedUpstreams()
	if answerer.HasStalePeer() {
		candidates = answerer.PollableUpstreams()
	}
	var list []dispatcher.Upstream
	for _, upstream := range candidates {
		if service, ok := table.Service(upstream.Service); ok && service.Engine != nil {
			list = append(list, upstream)
		}
	}
	return list
}

// NeedsList reports whether no coordinator of the region passes on the list.
func (s upstreamSink) NeedsList() bool {
	return s.conductor.heartbeats.upstreamListMissing()
}

// ListReaders returns the number of entry VMs that may read the list.
func (s upstreamSink) ListReaders() int {
	return s.conductor.config.Answerer.FleetSize()
}
