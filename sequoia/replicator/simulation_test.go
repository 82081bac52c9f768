package replicator_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiaspread.example/sequoia/promoter"
	"sequoiaspread.example/sequoia/replicator"
)

const simulationStep = 50 * time.Millisecond

var (
	simulationStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	anyAddress      = netip.MustParseAddrPort("127.0.0.1:7090")
)

// network sets the probability of loss and duplication per message, and the range of delays.
type network struct {
	lossPercent, duplicatePercent int
	minDelay, maxDelay            time.Duration
}

type inFlightMessage struct {
	deliverAt time.Duration
	message   replicator.PeerMessage
}

type link struct{ from, to replicator.MemberID }

// member is one simulated controller with a disk that keeps only what was saved.
type member struct {
	id           replicator.MemberID
	disk         replicator.DurableState
	replicator   *replicator.Replicator
	stateMachine *promoter.Promoter
	up           bool
	clockOffset  time.Duration
	// hung members neither receive nor tick; messages to them stay in flight.
	hung bool
	role replicator.RoleChanged
	// highestVersion is the highest version that this member has applied.
	highestVersion uint64
	// failNextSave makes the next save fail; the member then crashes before it performs another effect.
	failNextSave bool
	appended     map[uint64]appendedProposal
	pending      map[uint64]func(promoter.Outcome)
}

type appendedProposal struct {
	term  uint64
	reply func(promoter.Outcome)
}

// simulation runs members over a faulty network in simulated time and checks the safety properties on each effect.
type simulation struct {
	t             *testing.T
	random        *rand.Rand
	network       network
	now           time.Duration
	members       map[replicator.MemberID]*member
	inFlight      []inFlightMessage
	blockedLinks  map[link]bool
	nextRef       uint64
	replacedDisks int
	// pauseReplacement keeps reconcileMembership from replacing voters by learners.
	pauseReplacement bool
	// lostDisks holds the members whose disk is lost; they never start again.
	lostDisks map[replicator.MemberID]bool

	leaderOfTerm     map[uint64]replicator.MemberID
	loggedEntries    map[entryKey]string
	committed        map[uint64]replicator.Entry
	highestCommitted uint64
	membership       replicator.Membership
	lastFencingToken uint64
}

func newSimulation(t *testing.T, seed uint64, voters, learners int) *simulation {
	s := &simulation{
		t: t, random: rand.New(rand.NewPCG(seed, 7)), network: network{minDelay: simulationStep, maxDelay: simulationStep},
		members: map[replicator.MemberID]*member{}, blockedLinks: map[link]bool{}, lostDisks: map[replicator.MemberID]bool{},
		leaderOfTerm: map[uint64]replicator.MemberID{}, loggedEntries: map[entryKey]string{}, committed: map[uint64]replicator.Entry{}, highestCommitted: 1,
	}
	s.membership.Addresses = map[replicator.MemberID]netip.AddrPort{}
	for i := range voters + learners {
		id := replicator.MemberID(fmt.Sprintf("vm-%c#1", 'a'+i))
		s.membership.Addresses[id] = anyAddress
		if i < voters {
			s.membership.Voters = append(s.membership.Voters, id)
		} else {
			s.membership.Learners = append(s.membership.Learners, id)
		}
	}
	data, err := promoter.New(promoter.Config{}, promoter.Genesis{Version: 1, Text: []byte("1"), Digest: "d-1"}).Snapshot()
	assert.NilError(t, err)
	for _, id := range s.membership.Members() {
		snapshot := replicator.Snapshot{Index: 1, Term: 1, Membership: s.membership, Data: data}
		s.members[id] = &member{id: id, disk: replicator.DurableState{State: replicator.HardState{Term: 1, Commit: 1}, Snapshot: snapshot}}
		s.start(id)
	}
	return s
}

// start starts a member from its disk.
func (s *simulation) start(id replicator.MemberID) {
	m := s.members[id]
	saved := replicator.DurableState{State: m.disk.State, Snapshot: m.disk.Snapshot, Entries: slices.Clone(m.disk.Entries)}
	random := rand.New(rand.NewPCG(s.random.Uint64(), 1))
	restarted, err := replicator.New(replicator.Config{ID: id, SnapshotThreshold: 16, TrailingEntries: 4, Random: random}, saved)
	assert.NilError(s.t, err)
	m.replicator, m.up, m.role = restarted, true, replicator.RoleChanged{}
	m.stateMachine = promoter.New(promoter.Config{}, promoter.Genesis{})
	if saved.Snapshot.Index > 0 {
		assert.NilError(s.t, m.stateMachine.Restore(saved.Snapshot.Data))
	}
	m.appended, m.pending = map[uint64]appendedProposal{}, map[uint64]func(promoter.Outcome){}
}

func (s *simulation) crash(id replicator.MemberID) {
	s.members[id].up = false
}

// loseDisk replaces a member by a new one of the same VM with an empty disk.
func (s *simulation) loseDisk(id replicator.MemberID) replicator.MemberID {
	s.crash(id)
	s.lostDisks[id] = true
	s.replacedDisks++
	next := replicator.MemberID(fmt.Sprintf("%s#new-%d", id.VM(), s.replacedDisks))
	s.members[next] = &member{id: next}
	s.start(next)
	return next
}

func (s *simulation) clockOf(m *member) time.Time {
	return simulationStart.Add(s.now + m.clockOffset)
}

// step advances the time by one step, delivers the due messages in random order, and ticks each member.
func (s *simulation) step() {
	s.now += simulationStep
	var due []inFlightMessage
	s.inFlight = slices.DeleteFunc(s.inFlight, func(f inFlightMessage) bool {
		if f.deliverAt > s.now || s.isHung(f.message.MessageHeader().To) {
			return false
		}
		due = append(due, f)
		return true
	})
	s.random.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	for _, each := range due {
		header := each.message.MessageHeader()
		if m := s.members[header.To]; m != nil && m.up && !s.blockedLinks[link{header.From, header.To}] {
			s.applyEffects(m, m.replicator.Step(s.clockOf(m), each.message))
		}
	}
	for _, id := range s.ids() {
		if m := s.members[id]; m.up && !m.hung {
			s.applyEffects(m, m.replicator.Tick(s.clockOf(m)))
		}
	}
}

func (s *simulation) isHung(id replicator.MemberID) bool {
	return s.members[id] != nil && s.members[id].hung
}

func (s *simulation) run(duration time.Duration) {
	for end := s.now + duration; s.now < end; {
		s.step()
	}
}

// waitUntil steps until a condition holds; it fails the test after a minute of simulated time.
func (s *simulation) waitUntil(what string, condition func() bool) {
	for end := s.now + time.Minute; !condition(); {
		assert.Assert(s.t, s.now < end, "waited a minute for: %s", what)
		s.step()
		s.reconcileMembership()
	}
}

func (s *simulation) ids() []replicator.MemberID {
	return slices.Sorted(maps.Keys(s.members))
}

func (s *simulation) send(message replicator.PeerMessage) {
	copies := 1
	if s.random.IntN(100) < s.network.duplicatePercent {
		copies = 2
	}
	for range copies {
		if s.random.IntN(100) < s.network.lossPercent {
			continue
		}
		delay := s.network.minDelay + time.Duration(s.random.Int64N(int64(s.network.maxDelay-s.network.minDelay)+1))
		s.inFlight = append(s.inFlight, inFlightMessage{deliverAt: s.now + delay, message: message})
	}
}

// applyEffects performs the effects in order; a failed save crashes the member and drops the remaining effects.
func (s *simulation) applyEffects(m *member, effects []replicator.Effect) {
	for _, effect := range effects {
		if !m.up {
			return
		}
		switch e := effect.(type) {
		case replicator.Save:
			s.saveToDisk(m, e)
		case replicator.Send:
			s.send(e.Message)
		case replicator.Apply:
			s.applyEntries(m, e.Entries)
		case replicator.Restore:
			assert.NilError(s.t, m.stateMachine.Restore(e.Snapshot.Data))
			s.recordVersion(m)
		case replicator.TakeSnapshot:
			data, err := m.stateMachine.Snapshot()
			assert.NilError(s.t, err)
			snapshot := replicator.Snapshot{Index: e.Index, Term: e.Term, Membership: e.Membership, Data: data}
			s.applyEffects(m, m.replicator.Step(s.clockOf(m), replicator.SnapshotTaken{Snapshot: snapshot}))
		case replicator.Proposed:
			m.appended[e.Index] = appendedProposal{term: e.Term, reply: m.pending[e.Ref]}
			delete(m.pending, e.Ref)
		case replicator.RoleChanged:
			s.checkLeader(m, e)
		case replicator.Halt:
			s.t.Fatalf("member %s halted: %v", m.id, e.Reason)
		}
	}
}

func (s *simulation) saveToDisk(m *member, save replicator.Save) {
	if m.failNextSave {
		m.failNextSave = false
		s.crash(m.id)
		return
	}
	m.disk.State = save.State
	entries := m.disk.Entries
	if save.TruncateFrom > 0 {
		entries = slices.DeleteFunc(slices.Clone(entries), func(e replicator.Entry) bool { return e.Index >= save.TruncateFrom })
	}
	entries = append(slices.Clone(entries), save.Entries...)
	if save.Snapshot != nil {
		m.disk.Snapshot = *save.Snapshot
		entries = slices.DeleteFunc(entries, func(e replicator.Entry) bool { return e.Index < save.FirstIndex })
	}
	m.disk.Entries = entries
	s.checkLogMatching(entries, len(save.Entries))
}

func (s *simulation) applyEntries(m *member, entries []replicator.Entry) {
	for _, entry := range entries {
		known, ok := s.committed[entry.Index]
		assert.Assert(s.t, !ok || (known.Term == entry.Term && string(known.Data) == string(entry.Data)), "two entries were committed at %d", entry.Index)
		if !ok {
			s.committed[entry.Index] = entry
		}
		if !ok && entry.Index > s.highestCommitted {
			s.highestCommitted = entry.Index
			if entry.Membership != nil {
				s.membership = *entry.Membership
			}
		}
		outcome := promoter.Outcome{Result: promoter.ResultAccepted}
		if entry.Kind == replicator.EntryCommand {
			command, err := promoter.Decode(entry.Data)
			assert.NilError(s.t, err)
			outcome = m.stateMachine.Apply(command)
			s.checkFencing(command, outcome, !ok)
		}
		if waiting, ok := m.appended[entry.Index]; ok && waiting.term == entry.Term && waiting.reply != nil {
			waiting.reply(outcome)
		}
		delete(m.appended, entry.Index)
	}
	s.recordVersion(m)
}

func (s *simulation) recordVersion(m *member) {
	m.highestVersion = max(m.highestVersion, m.stateMachine.Version())
}
