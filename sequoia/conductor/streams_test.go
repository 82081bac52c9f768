package conductor

import (
	"context"
	"net/netip"
	"testing"

	logtest "github.com/sirupsen/logrus/hooks/test"
	"gotest.tools/v3/assert"

	"sequoiaspread.example/sequoia/answerer"
	"sequoiaspread.example/sequoia/dispatcher"
	"sequoiaspread.example/sequoia/fleetserver"
	"sequoiaspread.example/sequoia/messenger"
)

// Guards against the only version that one coordinator has seen being taken for that of a stream, although another
// coordinator has seen others or knows the stream.
func TestAnswersOfCoordinatorsAreMerged(t *testing.T) {
	unknown := fleetserver.StreamVersion{}
	sole := fleetserver.StreamVersion{Version: "v1", Sole: true}
	other := fleetserver.StreamVersion{Version: "v2", Sole: true}
	mixed := fleetserver.StreamVersion{Mixed: true}
	found := fleetserver.StreamVersion{Version: "v2", Found: true}
	for _, test := range []struct {
		replies []fleetserver.StreamVersion
		version string
	}{
		{nil, ""},
		{[]fleetserver.StreamVersion{unknown, unknown}, ""},
		{[]fleetserver.StreamVersion{unknown, sole}, "v1"},
		{[]fleetserver.StreamVersion{sole, unknown, sole}, "v1"},
		{[]fleetserver.StreamVersion{sole, other}, ""},
		{[]fleetserver.StreamVersion{sole, mixed}, ""},
		{[]fleetserver.StreamVersion{mixed, sole}, ""},
		{[]fleetserver.StreamVersion{sole, mixed, found}, "v2"},
	} {
		var merged fleetserver.StreamVersion
		for _, reply := range test.replies {
			merged = mergeStreamVersions(merged, reply)
		}
		known := merged.Found || merged.Sole && !merged.Mixed
		assert.Equal(t, known, test.version != "", "%v", test.replies)
		if known {
			assert.Equal(t, merged.Version, test.version)
		}
	}
}

// versionVM is an entry VM whose list names one version, and that has three coordinators.
type versionVM struct {
	*heartbeater
	answerer *answerer.Answerer
	members  []netip.AddrPort
}

func newVersionVM(t *testing.T, members []netip.AddrPort) versionVM {
	t.Helper()
	logger, _ := logtest.NewNullLogger()
	vm := answerer.New(answerer.Config{Logger: logger})
	vm.SetUpstreams([]dispatcher.Upstream{{ID: "u", Service: "s", Version: "v1"}})
	pool := messenger.NewPool(messenger.PoolConfig{Logger: logger})
	t.Cleanup(func() { assert.NilError(t, pool.Close()) })
	h := newHeartbeater(Config{
		Answerer: vm, Logger: logger, Coordinators: func() []netip.AddrPort { return members },
	}, fleetserver.NewClient(pool), func([]fleetserver.EntryVM) {})
	return versionVM{heartbeater: h, answerer: vm, members: members}
}

// reply handles the reply of a coordinator to a heartbeat.
func (vm versionVM) reply(index int, reply fleetserver.HeartbeatReply) {
	vm.heartbeat(vm.members[index])
	vm.handleReply(context.Background(), vm.members[index], reply)
	vm.confirmVersions(vm.members[index], reply)
}

// Guards against a version that begins streams because one coordinator knows it, which may be cut off from the others, and
// against a VM that relies on a coordinator which has forgotten what it was told.
func TestVersionsAreConfirmedByAMajority(t *testing.T) {
	members := []netip.AddrPort{
		netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.1:2"), netip.MustParseAddrPort("127.0.0.1:3"),
	}
	vm := newVersionVM(t, members)
	vm.reply(0, fleetserver.HeartbeatReply{})
	assert.Equal(t, len(vm.confirmations.Established(members)), 0)
	vm.reply(1, fleetserver.HeartbeatReply{})
	assert.Equal(t, len(vm.confirmations.Established(members)["s"]), 1)
	vm.reply(1, fleetserver.HeartbeatReply{UnknownVM: true})
	assert.Equal(t, len(vm.confirmations.Established(members)), 0)
	assert.Equal(t, len(vm.heartbeat(members[1]).Versions), 1, "it is told again")
}
