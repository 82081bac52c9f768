package coordinator

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"sequoiaspread.example/sequoia/director"
	"sequoiaspread.example/sequoia/dispatcher"
	"sequoiaspread.example/sequoia/registrar"
	"sequoiaspread.example/sequoia/replicator"
)

const waitTimeout = 30 * time.Second

// emptySource lists no upstreams.
type emptySource struct{}

// List returns nothing.
func (emptySource) List(context.Context) ([]dispatcher.Upstream, int, error) { return nil, 1, nil }

// FetchLoad is never called.
func (emptySource) FetchLoad(context.Context, dispatcher.Upstream) (dispatcher.Load, error) {
	return dispatcher.Load{}, nil
}

type runningCoordinator struct {
	*Coordinator
	stop func()
}

func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = socket.Close() }()
	return netip.MustParseAddrPort(socket.Addr().String())
}

func startCoordinator(t *testing.T, address netip.AddrPort, seeds []netip.AddrPort, folder string, initialStart bool) runningCoordinator {
	t.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	c := New(Config{
		Address: address, Seeds: func() []netip.AddrPort { return seeds }, InitialStart: initialStart, DataFolder: folder, Logger: logger,
		Source: emptySource{}, Homes: func(registrar.State, string) director.Homes { return director.Homes{Kind: director.HomesUnrestricted} },
		HeartbeatInterval: 100 * time.Millisecond, ElectionTimeout: 400 * time.Millisecond,
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- c.Run(ctx) }()
	return runningCoordinator{Coordinator: c, stop: func() {
		cancel()
		assert.Check(t, <-done)
	}}
}

func waitFor(t *testing.T, condition string, met func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); !met(); time.Sleep(20 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline), "waited too long for %s", condition)
	}
}

func putDocument(t *testing.T, c runningCoordinator, version uint64) {
	t.Helper()
	waitFor(t, "an acknowledged document", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		return c.Put(ctx, version, []byte(fmt.Sprint(version))) == nil
	})
}

// Guards against losing acknowledged changes in three cases: a disk is lost right after the acknowledgement; a
// partitioned coordinator is replaced by an empty one at another address; the replaced coordinator returns with its
// old state.
func TestMemberReplacementKeepsAcknowledgedState(t *testing.T) {
	var seeds []netip.AddrPort
	var folders []string
	for range 3 {
		seeds = append(seeds, freeAddress(t))
		folders = append(folders, t.TempDir())
	}
	var all []runningCoordinator
	for i := range seeds {
		all = append(all, startCoordinator(t, seeds[i], seeds, folders[i], true))
	}
	putDocument(t, all[0], 5)
	all[1].stop()
	assert.NilError(t, os.RemoveAll(folders[1]))
	all[1] = startCoordinator(t, seeds[1], seeds, folders[1], false)
	waitFor(t, "the voter with a new disk", func() bool {
		status, ok := all[1].Status()
		return ok && status.Membership.IsVoter(status.ID)
	})
	all[2].stop()
	successor := startCoordinator(t, freeAddress(t), seeds, t.TempDir(), false)
	waitFor(t, "the successor as a voter", func() bool {
		status, ok := successor.Status()
		return ok && status.Membership.IsVoter(status.ID)
	})
	putDocument(t, successor, 9)
	returned := startCoordinator(t, seeds[2], seeds, folders[2], false)
	waitFor(t, "the replaced member with a new id", func() bool {
		status, ok := returned.Status()
		return ok && status.ID != initialID(seeds[2]) && status.Membership.IsVoter(status.ID)
	})
	waitFor(t, "a read at the returned member", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		state, err := returned.Read(ctx)
		return err == nil && state.Version == 9 && string(state.Text) == "9"
	})
	for _, c := range []runningCoordinator{all[0], all[1], successor, returned} {
		c.stop()
	}
}

// Guards against a stale read from a coordinator that lost contact with the others.
func TestReadNeedsAMajority(t *testing.T) {
	seeds := []netip.AddrPort{freeAddress(t), freeAddress(t), freeAddress(t)}
	var all []runningCoordinator
	for _, seed := range seeds {
		all = append(all, startCoordinator(t, seed, seeds, t.TempDir(), true))
	}
	putDocument(t, all[0], 5)
	all[1].stop()
	all[2].stop()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	_, err := all[0].Read(ctx)
	assert.Assert(t, err != nil)
	all[0].stop()
}

// Guards against a disk that temporarily rejects writes ending the process, and the directory of entry VMs with it.
func TestDiskFailureIsRetried(t *testing.T) {
	address := freeAddress(t)
	folder := filepath.Join(t.TempDir(), "data")
	assert.NilError(t, os.WriteFile(folder, nil, 0o600))
	c := startCoordinator(t, address, []netip.AddrPort{address}, folder, true)
	time.Sleep(2 * diskRetryDelay)
	assert.NilError(t, os.Remove(folder))
	putDocument(t, c, 3)
	c.stop()
}

func statusWithVoters(voters ...replicator.MemberID) replicator.Status {
	return replicator.Status{
		Membership: replicator.Membership{Voters: voters}, SinceContact: map[replicator.MemberID]time.Duration{},
	}
}

// Guards against membership changes that lower the number of failures that consensus tolerates.
func TestNextMembershipChange(t *testing.T) {
	healthy := statusWithVoters("a#1", "b#1", "c#1")
	assert.Assert(t, nextMembershipChange("a#1", healthy, nil) == nil)
	unreachable := statusWithVoters("a#1", "b#1", "c#1")
	unreachable.SinceContact["c#1"] = time.Minute
	assert.Assert(t, nextMembershipChange("a#1", unreachable, nil) == nil, "a voter of three is not removed")
	unreachable.Membership.Learners = []replicator.MemberID{"d#1"}
	change := nextMembershipChange("a#1", unreachable, nil)(1)
	assert.DeepEqual(t, change, replicator.ReplaceVoter{Ref: 1, Lost: "c#1", Successor: "d#1"})
	unreachable.SinceContact["c#1"] = maxContactAge + time.Millisecond
	assert.Assert(t, nextMembershipChange("a#1", unreachable, nil) == nil, "a fourth voter would raise the quorum while one is unreachable")
	extended := statusWithVoters("a#1", "b#1", "c#1")
	extended.Membership.Learners = []replicator.MemberID{"d#1"}
	assert.Assert(t, nextMembershipChange("a#1", extended, nil) == nil, "an unreachable voter that it should replace may not have been detected yet")
	learnerAge := map[replicator.MemberID]time.Duration{"d#1": promoteAfter}
	assert.DeepEqual(t, nextMembershipChange("a#1", extended, learnerAge)(1), replicator.PromoteLearner{Ref: 1, ID: "d#1"})
	wiped := statusWithVoters("a#1", "b#1", "c#1")
	wiped.Membership.Learners = []replicator.MemberID{"b#2"}
	assert.DeepEqual(t, nextMembershipChange("a#1", wiped, nil)(1), replicator.ReplaceVoter{Ref: 1, Lost: "b#1", Successor: "b#2"})
	even := statusWithVoters("a#1", "b#1", "c#1", "d#1")
	even.SinceContact["d#1"] = time.Minute
	assert.DeepEqual(t, nextMembershipChange("a#1", even, nil)(1), replicator.RemoveMember{Ref: 1, ID: "d#1"})
}

// Guards against entry VMs applying an older document after a restart of all coordinators. The newest document is then
// in the logs, but no leader has confirmed yet that it was committed (seen on the kiosks deployment, day trouble-2,
// seed 11).
func TestRestartedMemberWaitsForALeader(t *testing.T) {
	seeds := []netip.AddrPort{freeAddress(t), freeAddress(t), freeAddress(t)}
	folders := []string{t.TempDir(), t.TempDir(), t.TempDir()}
	var all []runningCoordinator
	for i, seed := range seeds {
		all = append(all, startCoordinator(t, seed, seeds, folders[i], true))
	}
	putDocument(t, all[0], 5)
	for _, c := range all {
		c.stop()
	}
	alone := startCoordinator(t, seeds[0], seeds, folders[0], false)
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		assert.Equal(t, alone.AppliedState().Version, uint64(0))
	}
	second := startCoordinator(t, seeds[1], seeds, folders[1], false)
	waitFor(t, "the confirmed state", func() bool {
		return alone.AppliedState().Version == 5 && second.AppliedState().Version == 5
	})
	alone.stop()
	second.stop()
}
