package conductor

import (
	"context"
	"net/netip"
	"testing"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"
	"gotest.tools/v3/assert"

	"sequoiaspread.example/sequoia/answerer"
	"sequoiaspread.example/sequoia/dispatcher"
	"sequoiaspread.example/sequoia/fleetserver"
	"sequoiaspread.example/sequoia/messenger"
	"sequoiaspread.example/sequoia/pinner"
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

// reply handles the reply of a coordinator to a heartbeat that was sent at a time.
func (vm versionVM) reply(index int, askedAt time.Time, reply fleetserver.HeartbeatReply) {
	vm.heartbeat(vm.members[index])
	vm.recordReply(vm.members[index], reply)
	vm.confirmVersions(vm.members[index], versionsAsked{askedAt: askedAt, told: vm.toldVersions(vm.members[index])}, reply)
}

// Guards against a VM that relies on what one coordinator confirmed, which may be cut off from the others, and against a
// coordinator that has forgotten what it was told and is not told again.
func TestVersionsAreConfirmedByAMajority(t *testing.T) {
	members := []netip.AddrPort{
		netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.1:2"), netip.MustParseAddrPort("127.0.0.1:3"),
	}
	vm := newVersionVM(t, members)
	now := time.Now()
	vm.reply(0, now, fleetserver.HeartbeatReply{CompleteVersions: true})
	assert.Assert(t, vm.confirmations.CompleteUntil(members).IsZero())
	assert.Equal(t, len(vm.confirmations.Established(members)), 0)
	vm.reply(1, now, fleetserver.HeartbeatReply{CompleteVersions: true})
	assert.Equal(t, vm.confirmations.CompleteUntil(members), now.Add(pinner.ConfirmationValidity))
	assert.Equal(t, len(vm.confirmations.Established(members)["s"]), 1)
	vm.reply(1, now, fleetserver.HeartbeatReply{UnknownVM: true})
	assert.Equal(t, len(vm.confirmations.Established(members)["s"]), 1, "a VM that was silent for long goes on")
	assert.Equal(t, len(vm.heartbeat(members[1]).Versions), 1, "it is told again")
}

// Guards against the only version that a minority of the coordinators has seen being taken for that of a stream: the
// others may know of another one.
func TestStreamIsNotFoundByAMinority(t *testing.T) {
	for name, test := range map[string]struct {
		answering int
		found     bool
	}{
		"one of three": {1, false},
		"two of three": {2, true},
	} {
		t.Run(name, func(t *testing.T) {
			addresses := startCoordinators(t, &soleCoordinators{}, 3)
			vm := newVersionVM(t, addresses)
			for _, address := range addresses[:test.answering] {
				vm.coordinators[address] = &coordinatorState{
					lastReply: time.Now(), fleet: fleetserver.Fleet{Coordinators: addresses},
				}
			}
			_, found := vm.FindStream(context.Background(), "s", pinner.KeyOf("a"))
			assert.Equal(t, found, test.found)
		})
	}
}

// soleCoordinators know a single version.
type soleCoordinators struct {
	fakeCoordinators
}

// FindStream returns the only version.
func (*soleCoordinators) FindStream(fleetserver.StreamQuery) fleetserver.StreamVersion {
	return fleetserver.StreamVersion{Version: "v1", Sole: true}
}

// Guards against a version that counts as known to a coordinator which replied before it was told of it, as while a state
// is fetched after a heartbeat.
func TestVersionIsNotConfirmedByAnEarlierReply(t *testing.T) {
	members := []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1")}
	vm := newVersionVM(t, members)
	vm.heartbeat(members[0])
	asked := versionsAsked{askedAt: time.Now(), told: vm.toldVersions(members[0])}
	vm.answerer.SetUpstreams([]dispatcher.Upstream{{ID: "u", Service: "s", Version: "v1"}, {ID: "w", Service: "s", Version: "v2"}})
	vm.heartbeat(members[0])
	vm.confirmVersions(members[0], asked, fleetserver.HeartbeatReply{CompleteVersions: true})
	established := vm.confirmations.Established(members)["s"]
	_, known := established["v2"]
	assert.Assert(t, len(established) == 1 && !known, "%v", established)
}
