package pinner

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var coordinators = []netip.AddrPort{
	netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.1:2"), netip.MustParseAddrPort("127.0.0.1:3"),
}

// Guards against a version that begins streams while a VM may still take another for the only one, and against one that
// never may.
func TestVersionIsEstablishedByAMajority(t *testing.T) {
	told := map[string][]string{"s": {"v1"}}
	reply := Reply{AskedAt: start, ReceivedAt: start, Complete: true, Told: told}
	c := NewConfirmations()
	c.List(start, told)
	assert.Equal(t, len(c.Established(coordinators)), 0)
	c.Record(coordinators[0], reply)
	assert.Equal(t, len(c.Established(coordinators)), 0, "one of three")
	reply.Pending = map[string]map[string]time.Duration{"s": {"v1": 0}}
	c.Record(coordinators[1], reply)
	assert.Equal(t, len(c.Established(coordinators)), 0, "not on the disk of the second")
	reply.Pending = map[string]map[string]time.Duration{"s": {"v1": time.Second}}
	c.Record(coordinators[1], reply)
	assert.DeepEqual(t, c.Established(coordinators), map[string]map[string]time.Time{"s": {"v1": start.Add(time.Second)}})
	c.List(start.Add(listedMemory), nil)
	assert.Equal(t, len(c.Established(coordinators)), 1, "its upstreams may come back")
	c.List(start.Add(listedMemory+time.Second), nil)
	assert.Equal(t, len(c.Established(coordinators)), 0, "the coordinators may have forgotten it")
}

// Guards against a confirmation that lasts for as long as its reply was delayed, as by a pause of the VM.
func TestConfirmationRunsFromTheQuestion(t *testing.T) {
	c := NewConfirmations()
	assert.Assert(t, c.CompleteUntil(coordinators).IsZero())
	c.Record(coordinators[0], Reply{AskedAt: start.Add(time.Second), ReceivedAt: start.Add(time.Second), Complete: true})
	c.Record(coordinators[1], Reply{AskedAt: start.Add(time.Second), ReceivedAt: start.Add(time.Second)})
	assert.Assert(t, c.CompleteUntil(coordinators).IsZero(), "one of three")
	c.Record(coordinators[2], Reply{AskedAt: start, ReceivedAt: start.Add(time.Minute), Complete: true})
	assert.Equal(t, c.CompleteUntil(coordinators), start.Add(ConfirmationValidity))
}

// Guards against a new version that begins streams while another VM relies on a confirmation without it, whatever is
// delayed, lost, paused, restarted or wiped, and against one that no VM may begin streams at although nothing is disturbed.
func TestNoConfirmationOutlivesTheStartOfAVersion(t *testing.T) {
	schedules := 300
	if text := os.Getenv("SEQUOIA_SCHEDULES"); text != "" {
		var err error
		schedules, err = strconv.Atoi(text)
		assert.NilError(t, err)
	}
	established := 0
	for seed := range schedules {
		if runVersionSchedule(t, seed) {
			established++
		}
	}
	assert.Assert(t, established > schedules/2, "%d of %d", established, schedules)
}

const (
	scheduleStep    = 20 * time.Millisecond
	scheduleLength  = 15 * time.Second
	scheduleBeat    = 800 * time.Millisecond
	scheduleTimeout = 1500 * time.Millisecond
)

// versionSchedule is a random run of VMs and coordinators, of which the first VM lists a new version at some time.
type versionSchedule struct {
	random       *rand.Rand
	now          time.Time
	coordinators []*versionKeeper
	vms          []*versionReader
	due          []dueEvent
}

// dueEvent happens at a time.
type dueEvent struct {
	at  time.Time
	run func()
}

// versionKeeper is a coordinator with what its disk holds.
type versionKeeper struct {
	table *Table
	disk  map[string][]string
	// established is what the disk holds of that.
	established map[string][]string
	// restarted is set until a VM has told it of itself.
	restarted map[*versionReader]bool
}

// versionReader is an entry VM.
type versionReader struct {
	confirmations *Confirmations
	table         *Table
	listed        map[string][]string
	newFrom       time.Time
	pausedUntil   time.Time
	beatAt        time.Time
}

func runVersionSchedule(t *testing.T, seed int) bool {
	t.Helper()
	s := &versionSchedule{random: rand.New(rand.NewPCG(uint64(seed), 0)), now: start}
	for range coordinators {
		table := New(time.Time{})
		table.See(start, "s", "v1")
		s.coordinators = append(s.coordinators, &versionKeeper{table: table, disk: map[string][]string{"s": {"v1"}}, restarted: map[*versionReader]bool{}})
	}
	newFrom := start.Add(s.duration(5 * time.Second))
	for range 3 {
		vm := &versionReader{confirmations: NewConfirmations(), table: New(time.Time{}), newFrom: newFrom, beatAt: start.Add(s.duration(scheduleBeat))}
		s.vms = append(s.vms, vm)
		newFrom = newFrom.Add(s.duration(3 * time.Second))
	}
	began := false
	for ; s.now.Before(start.Add(scheduleLength)); s.now = s.now.Add(scheduleStep) {
		s.step(seed)
		began = s.check(t, seed) || began
	}
	return began
}

func (s *versionSchedule) duration(limit time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(limit)))
}

// delay is that of a message: mostly short, at times as long as a call may last.
func (s *versionSchedule) delay() time.Duration {
	if s.random.IntN(4) == 0 {
		return s.duration(scheduleTimeout)
	}
	return s.duration(120 * time.Millisecond)
}

func (s *versionSchedule) later(after time.Duration, run func()) {
	s.due = append(s.due, dueEvent{s.now.Add(after), run})
}

func (s *versionSchedule) step(seed int) {
	var due []dueEvent
	s.due = slices.DeleteFunc(s.due, func(e dueEvent) bool {
		if e.at.After(s.now) {
			return false
		}
		due = append(due, e)
		return true
	})
	for _, e := range due {
		e.run()
	}
	// The first schedules are undisturbed.
	if seed%3 != 0 && s.random.IntN(100) == 0 {
		s.disturb()
	}
	for _, keeper := range s.coordinators {
		keeper.save(s.now, s.random.IntN(5) == 0)
	}
	for _, vm := range s.vms {
		vm.list(s.now)
		if s.now.Before(vm.beatAt) || s.now.Before(vm.pausedUntil) {
			continue
		}
		vm.beatAt = s.now.Add(scheduleBeat)
		for i := range s.coordinators {
			s.beat(vm, i)
		}
	}
}

// save writes the versions to the disk from time to time.
func (k *versionKeeper) save(now time.Time, writes bool) {
	if !writes {
		return
	}
	k.disk, k.established = k.table.AllVersions(now), k.table.Established(now)
	k.table.Keep(now, k.disk)
}

func (vm *versionReader) list(now time.Time) {
	vm.listed = map[string][]string{"s": {"v1"}}
	if !now.Before(vm.newFrom) {
		vm.listed["s"] = append(vm.listed["s"], "v2")
	}
	vm.see(now, vm.listed)
}

func (vm *versionReader) see(now time.Time, versions map[string][]string) {
	for service, list := range versions {
		for _, version := range list {
			vm.table.See(now, service, version)
		}
	}
}

// disturb restarts or wipes one coordinator or pauses a VM. No two coordinators are wiped.
func (s *versionSchedule) disturb() {
	switch s.random.IntN(3) {
	case 0:
		s.vms[s.random.IntN(len(s.vms))].pausedUntil = s.now.Add(s.duration(4 * time.Second))
	case 1:
		keeper := s.coordinators[s.random.IntN(len(s.coordinators))]
		keeper.restart(s.now, s.vms, true)
	default:
		s.coordinators[0].restart(s.now, s.vms, false)
	}
}

func (k *versionKeeper) restart(now time.Time, vms []*versionReader, keepsDisk bool) {
	if !keepsDisk {
		k.disk, k.established = nil, nil
	}
	complete := k.table.Complete(now) && keepsDisk
	k.table = New(now)
	if complete {
		k.table.WatchedSince(time.Time{})
	}
	for service, list := range k.disk {
		for _, version := range list {
			k.table.See(now, service, version)
		}
	}
	k.table.Restore(now, k.established)
	for _, vm := range vms {
		k.restarted[vm] = true
	}
}

// beat sends a heartbeat to a coordinator.
func (s *versionSchedule) beat(vm *versionReader, index int) {
	if s.random.IntN(10) == 0 {
		return
	}
	keeper, address, askedAt, told := s.coordinators[index], coordinators[index], s.now, vm.listed
	s.later(s.delay(), func() {
		for _, version := range told["s"] {
			keeper.table.See(s.now, "s", version)
		}
		unknown := keeper.restarted[vm]
		keeper.restarted[vm] = false
		reply := Reply{AskedAt: askedAt, Complete: keeper.table.Complete(s.now), Told: told, Pending: keeper.table.Pending(s.now)}
		mixed := keeper.table.Mixed(s.now)
		s.later(s.delay(), func() { vm.receive(s, address, reply, mixed, unknown) })
	})
}

// receive handles a reply, after the pause of the VM.
func (vm *versionReader) receive(s *versionSchedule, address netip.AddrPort, reply Reply, mixed map[string][]string, unknown bool) {
	if s.now.Before(vm.pausedUntil) {
		s.later(vm.pausedUntil.Sub(s.now), func() { vm.receive(s, address, reply, mixed, unknown) })
		return
	}
	vm.see(s.now, mixed)
	vm.confirmations.List(s.now, vm.listed)
	if unknown {
		return
	}
	reply.ReceivedAt = s.now
	vm.confirmations.Record(address, reply)
}

// check fails if a VM may begin streams at the new version while another takes the old one for the only one. It reports
// whether one may.
func (s *versionSchedule) check(t *testing.T, seed int) bool {
	t.Helper()
	began := false
	for _, vm := range s.vms {
		from, ok := vm.confirmations.Established(coordinators)["s"]["v2"]
		began = began || ok && !s.now.Before(from) && slices.Contains(vm.listed["s"], "v2")
	}
	if !began {
		return false
	}
	for i, vm := range s.vms {
		version, sole := vm.table.Sole(s.now, "s")
		confirmed := s.now.Before(vm.confirmations.CompleteUntil(coordinators))
		assert.Assert(t, !sole || !confirmed, fmt.Sprintf("seed %d, %v: VM %d takes %s for the only version", seed, s.now.Sub(start), i, version))
	}
	return true
}
