package conductor

import (
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"gotest.tools/v3/assert"

	"sequoiaspread.example/sequoia/answerer"
	"sequoiaspread.example/sequoia/dispatcher"
	"sequoiaspread.example/sequoia/fleetserver"
	"sequoiaspread.example/sequoia/forwarder"
)

// listVM is an entry VM that receives lists of upstreams.
type listVM struct {
	heartbeats *heartbeater
	answerer   *answerer.Answerer
}

func newListVM() listVM {
	logger, _ := logtest.NewNullLogger()
	vm := answerer.New(answerer.Config{
		Self: fleetserver.EntryVM{Name: "a", Zone: "z", Region: "r"}, HeaderCodec: nopHeaderCodec{}, Logger: logger, Client: forwarder.New(forwarder.Config{}),
		Metrics: answerer.NewMetrics(prometheus.NewRegistry()),
	})
	return listVM{heartbeats: newHeartbeater(Config{Answerer: vm, Logger: logger}, nil, nil), answerer: vm}
}

func listOf(id string) []dispatcher.Upstream {
	return []dispatcher.Upstream{{ID: id, Service: "s", Zone: "z", Slots: 1}}
}

func (vm listVM) assertUpstream(t *testing.T, id string) {
	t.Helper()
	upstreams := vm.answerer.Upstreams()
	assert.Equal(t, len(upstreams), 1)
	assert.Equal(t, upstreams[0].ID, id)
}

// Guards against requests to an upstream that has left, because a VM kept to the list of a coordinator that no longer
// reads it, while another coordinator passed on newer ones.
func TestOldListOfOneCoordinatorWasKept(t *testing.T) {
	vm := newListVM()
	now := time.Now()
	vm.heartbeats.handleUpstreamList(fleetserver.UpstreamList{Digest: 1, Upstreams: listOf("leaving"), Age: 1900 * time.Millisecond}, listQuery{askedAt: now})
	vm.assertUpstream(t, "leaving")
	newer := fleetserver.UpstreamList{Digest: 2, Upstreams: listOf("stays"), Age: 100 * time.Millisecond}
	vm.heartbeats.handleUpstreamList(newer, listQuery{askedAt: now, digest: 1})
	vm.assertUpstream(t, "stays")
	older := fleetserver.UpstreamList{Digest: 1, Upstreams: listOf("leaving"), Age: 2 * time.Second}
	vm.heartbeats.handleUpstreamList(older, listQuery{askedAt: now.Add(time.Second), digest: 2})
	vm.assertUpstream(t, "stays")
}

// Guards against a VM without upstreams, because a coordinator left out the list that another one has replaced since.
func TestOmittedListRemovedAllUpstreams(t *testing.T) {
	vm := newListVM()
	now := time.Now()
	vm.heartbeats.handleUpstreamList(fleetserver.UpstreamList{Digest: 1, Upstreams: listOf("first")}, listQuery{askedAt: now})
	vm.heartbeats.handleUpstreamList(fleetserver.UpstreamList{Digest: 2, Upstreams: listOf("second")}, listQuery{askedAt: now.Add(time.Second), digest: 1})
	vm.heartbeats.handleUpstreamList(fleetserver.UpstreamList{Digest: 1}, listQuery{askedAt: now.Add(2 * time.Second), digest: 1})
	vm.assertUpstream(t, "second")
}

// Guards against a list that the VM read itself and keeps, because a coordinator returns to the list from before.
func TestOwnListWasKeptAfterContact(t *testing.T) {
	vm := newListVM()
	now := time.Now()
	vm.heartbeats.handleUpstreamList(fleetserver.UpstreamList{Digest: 1, Upstreams: listOf("first")}, listQuery{askedAt: now})
	vm.heartbeats.setOwnList(listOf("own"), now.Add(time.Second))
	vm.assertUpstream(t, "own")
	query := listQuery{askedAt: now.Add(2 * time.Second), digest: vm.heartbeats.heartbeat(sourceAt(1, 0).coordinator).UpstreamsDigest}
	assert.Assert(t, query.digest != 1, "the coordinator would leave out the list")
	vm.heartbeats.handleUpstreamList(fleetserver.UpstreamList{Digest: 1, Upstreams: listOf("first")}, query)
	vm.assertUpstream(t, "first")
}
