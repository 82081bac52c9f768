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

	"sequoiaspread.example/sequoia/dispatcher"
	"sequoiaspread.example/sequoia/registrar"
	"sequoiaspread.example/sequoia/replicator"
)

const waitLimit = 30 * time.Second

// emptySource lists no upstreams.
type emptySource struct{}

// List returns nothing.
func (emptySource) List(context.Context) ([]dispatcher.Upstream, int, error) { return nil, 1, nil }

// Report is never called.
func (emptySource) FetchLoad(context.Context, dispatcher.Upstream) (dispatcher.Load, error) {
	return dispatcher.Load{}, nil
}

type running struct {
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

func start(t *testing.T, address netip.AddrPort, seeds []netip.AddrPort, folder string, first bool) running {
	t.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	c := New(Config{
		Address: address, Seeds: func() []netip.AddrPort { return seeds }, First: first, DataFolder: folder, Logger: logger,
		Source: emptySource{}, Homes: func(registrar.State, string) []string { return nil },
		Heartbeat: 100 * time.Millisecond, ElectionTimeout: 400 * time.Millisecond,
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- c.Run(ctx) }()
	return running{Coordinator: c, stop: func() {
		cancel()
		assert.Check(t, <-done)
	}}
}

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitLimit); !holds(); time.Sleep(20 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline), "waited too long for %s", what)
	}
}

func put(t *testing.T, c running, version uint64) {
	t.Helper()
	eventually(t, "an acknowledged document", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		return c.Put(ctx, version, []byte(fmt.Sprint(version))) == nil
	})
}

// Guards against losing what was acknowledged when a disk is lost right after it, when a coordinator is replaced by an
// empty one at another address while it is cut off, and when the replaced one comes back with its old state.
func TestReplacedMembers(t *testing.T) {
	var seeds []netip.AddrPort
	var folders []string
	for range 3 {
		seeds = append(seeds, freeAddress(t))
		folders = append(folders, t.TempDir())
	}
	var all []running
	for i := range seeds {
		all = append(all, start(t, seeds[i], seeds, folders[i], true))
	}
	put(t, all[0], 5)
	all[1].stop()
	assert.NilError(t, os.RemoveAll(folders[1]))
	all[1] = start(t, seeds[1], seeds, folders[1], false)
	eventually(t, "the voter with a new disk", func() bool {
		status, ok := all[1].Status()
		return ok && status.Membership.IsVoter(status.ID)
	})
	all[2].stop()
	successor := start(t, freeAddress(t), seeds, t.TempDir(), false)
	eventually(t, "the successor as a voter", func() bool {
		status, ok := successor.Status()
		return ok && status.Membership.IsVoter(status.ID)
	})
	put(t, successor, 9)
	back := start(t, seeds[2], seeds, folders[2], false)
	eventually(t, "the replaced member with a new id", func() bool {
		status, ok := back.Status()
		return ok && status.ID != initialID(seeds[2]) && status.Membership.IsVoter(status.ID)
	})
	eventually(t, "a read at the returned member", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		state, err := back.Read(ctx)
		return err == nil && state.Version == 9 && string(state.Text) == "9"
	})
	for _, c := range []running{all[0], all[1], successor, back} {
		c.stop()
	}
}

// Guards against a read that answers with something old on a coordinator that lost contact with the others.
func TestReadNeedsAMajority(t *testing.T) {
	seeds := []netip.AddrPort{freeAddress(t), freeAddress(t), freeAddress(t)}
	var all []running
	for _, seed := range seeds {
		all = append(all, start(t, seed, seeds, t.TempDir(), true))
	}
	put(t, all[0], 5)
	all[1].stop()
	all[2].stop()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	_, err := all[0].Read(ctx)
	assert.Assert(t, err != nil)
	all[0].stop()
}

// Guards against a process that ends, and with it the directory, because its disk takes no more bytes for a while.
func TestFailingDiskIsTriedAgain(t *testing.T) {
	address := freeAddress(t)
	folder := filepath.Join(t.TempDir(), "data")
	assert.NilError(t, os.WriteFile(folder, nil, 0o600))
	c := start(t, address, []netip.AddrPort{address}, folder, true)
	time.Sleep(2 * restartPause)
	assert.NilError(t, os.Remove(folder))
	put(t, c, 3)
	c.stop()
}

func members(voters ...replicator.MemberID) replicator.Status {
	return replicator.Status{
		Membership: replicator.Membership{Voters: voters}, SinceContact: map[replicator.MemberID]time.Duration{},
	}
}

// Guards against changes of the membership that lower what the agreement can lose.
func TestNextChange(t *testing.T) {
	calm := members("a#1", "b#1", "c#1")
	assert.Assert(t, nextChange("a#1", calm, nil) == nil)
	silent := members("a#1", "b#1", "c#1")
	silent.SinceContact["c#1"] = time.Minute
	assert.Assert(t, nextChange("a#1", silent, nil) == nil, "a voter of three is not removed")
	silent.Membership.Learners = []replicator.MemberID{"d#1"}
	change := nextChange("a#1", silent, nil)(1)
	assert.DeepEqual(t, change, replicator.ReplaceVoter{Ref: 1, Lost: "c#1", Successor: "d#1"})
	silent.SinceContact["c#1"] = heardWithin + time.Millisecond
	assert.Assert(t, nextChange("a#1", silent, nil) == nil, "a fourth voter would raise the quorum while one is silent")
	grown := members("a#1", "b#1", "c#1")
	grown.Membership.Learners = []replicator.MemberID{"d#1"}
	assert.Assert(t, nextChange("a#1", grown, nil) == nil, "the voter that it succeeds may not have been found silent yet")
	waited := map[replicator.MemberID]time.Duration{"d#1": promoteAfter}
	assert.DeepEqual(t, nextChange("a#1", grown, waited)(1), replicator.PromoteLearner{Ref: 1, ID: "d#1"})
	wiped := members("a#1", "b#1", "c#1")
	wiped.Membership.Learners = []replicator.MemberID{"b#2"}
	assert.DeepEqual(t, nextChange("a#1", wiped, nil)(1), replicator.ReplaceVoter{Ref: 1, Lost: "b#1", Successor: "b#2"})
	even := members("a#1", "b#1", "c#1", "d#1")
	even.SinceContact["d#1"] = time.Minute
	assert.DeepEqual(t, nextChange("a#1", even, nil)(1), replicator.RemoveMember{Ref: 1, ID: "d#1"})
}

// Guards against entry VMs obeying an older document after all coordinators were restarted: the newest one is in their
// logs, but nobody has told them yet that it was committed (trouble-2 of nilepaws-kiosks, seed 11).
func TestRestartedMemberWaitsForALeader(t *testing.T) {
	seeds := []netip.AddrPort{freeAddress(t), freeAddress(t), freeAddress(t)}
	folders := []string{t.TempDir(), t.TempDir(), t.TempDir()}
	var all []running
	for i, seed := range seeds {
		all = append(all, start(t, seed, seeds, folders[i], true))
	}
	put(t, all[0], 5)
	for _, c := range all {
		c.stop()
	}
	alone := start(t, seeds[0], seeds, folders[0], false)
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		assert.Equal(t, alone.AppliedState().Version, uint64(0))
	}
	second := start(t, seeds[1], seeds, folders[1], false)
	eventually(t, "the confirmed state", func() bool {
		return alone.AppliedState().Version == 5 && second.AppliedState().Version == 5
	})
	alone.stop()
	second.stop()
}
