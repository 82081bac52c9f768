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

// network sets the chances of faults per message, in percent, and the range of delays.
type network struct {
	loss, duplicates   int
	minDelay, maxDelay time.Duration
}

type flight struct {
	at      time.Duration
	message replicator.PeerMessage
}

type link struct{ from, to replicator.MemberID }

// member is one controller with a disk that keeps only what was saved.
type member struct {
	id     replicator.MemberID
	disk   replicator.DurableState
	agreed *replicator.Replicator
	state  *promoter.Promoter
	up     bool
	offset time.Duration
	// hung members neither receive nor tick; messages to them wait.
	hung bool
	role replicator.RoleChanged
	// enforced is the highest version that this disk ever had in force.
	enforced uint64
	// failWrite makes the next save fail; the member then stops before it does anything else.
	failWrite bool
	placed    map[uint64]placement
	unplaced  map[uint64]func(promoter.Outcome)
}

type placement struct {
	term  uint64
	reply func(promoter.Outcome)
}

type entryKey struct{ index, term uint64 }

// simulation runs members over a faulty network in simulated time and checks the rules of the agreement on each effect.
type simulation struct {
	t       *testing.T
	random  *rand.Rand
	network network
	now     time.Duration
	members map[replicator.MemberID]*member
	flights []flight
	cut     map[link]bool
	nextRef uint64
	disks   int
	// holdReplacement keeps adjust from swapping learners in.
	holdReplacement bool
	// lost members have no disk any more and never start again.
	lost map[replicator.MemberID]bool

	leaders   map[uint64]replicator.MemberID
	logged    map[entryKey]string
	committed map[uint64]replicator.Entry
	highest   uint64
	agreed    replicator.Membership
	fencing   uint64
}

func newSimulation(t *testing.T, seed uint64, voters, learners int) *simulation {
	s := &simulation{
		t: t, random: rand.New(rand.NewPCG(seed, 7)), network: network{minDelay: simulationStep, maxDelay: simulationStep},
		members: map[replicator.MemberID]*member{}, cut: map[link]bool{}, lost: map[replicator.MemberID]bool{},
		leaders: map[uint64]replicator.MemberID{}, logged: map[entryKey]string{}, committed: map[uint64]replicator.Entry{}, highest: 1,
	}
	s.agreed.Addresses = map[replicator.MemberID]netip.AddrPort{}
	for i := range voters + learners {
		id := replicator.MemberID(fmt.Sprintf("vm-%c#1", 'a'+i))
		s.agreed.Addresses[id] = anyAddress
		if i < voters {
			s.agreed.Voters = append(s.agreed.Voters, id)
		} else {
			s.agreed.Learners = append(s.agreed.Learners, id)
		}
	}
	data, err := promoter.New(promoter.Config{}, promoter.Genesis{Version: 1, Text: []byte("1"), Digest: "d-1"}).Snapshot()
	assert.NilError(t, err)
	for _, id := range s.agreed.Members() {
		snapshot := replicator.Snapshot{Index: 1, Term: 1, Membership: s.agreed, Data: data}
		s.members[id] = &member{id: id, disk: replicator.DurableState{State: replicator.HardState{Term: 1, Commit: 1}, Snapshot: snapshot}}
		s.start(id)
	}
	return s
}

// start brings a member up from its disk.
func (s *simulation) start(id replicator.MemberID) {
	m := s.members[id]
	saved := replicator.DurableState{State: m.disk.State, Snapshot: m.disk.Snapshot, Entries: slices.Clone(m.disk.Entries)}
	random := rand.New(rand.NewPCG(s.random.Uint64(), 1))
	agreed, err := replicator.New(replicator.Config{ID: id, SnapshotThreshold: 16, TrailingEntries: 4, Random: random}, saved)
	assert.NilError(s.t, err)
	m.agreed, m.up, m.role = agreed, true, replicator.RoleChanged{}
	m.state = promoter.New(promoter.Config{}, promoter.Genesis{})
	if saved.Snapshot.Index > 0 {
		assert.NilError(s.t, m.state.Restore(saved.Snapshot.Data))
	}
	m.placed, m.unplaced = map[uint64]placement{}, map[uint64]func(promoter.Outcome){}
}

func (s *simulation) crash(id replicator.MemberID) {
	s.members[id].up = false
}

// loseDisk replaces a member by a new one of the same VM with an empty disk.
func (s *simulation) loseDisk(id replicator.MemberID) replicator.MemberID {
	s.crash(id)
	s.lost[id] = true
	s.disks++
	next := replicator.MemberID(fmt.Sprintf("%s#new-%d", id.VM(), s.disks))
	s.members[next] = &member{id: next}
	s.start(next)
	return next
}

func (s *simulation) clock(m *member) time.Time {
	return simulationStart.Add(s.now + m.offset)
}

// step delivers what is due, in random order, and passes time.
func (s *simulation) step() {
	s.now += simulationStep
	var due []flight
	s.flights = slices.DeleteFunc(s.flights, func(f flight) bool {
		if f.at > s.now || s.isHung(f.message.MessageHeader().To) {
			return false
		}
		due = append(due, f)
		return true
	})
	s.random.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	for _, each := range due {
		head := each.message.MessageHeader()
		if m := s.members[head.To]; m != nil && m.up && !s.cut[link{head.From, head.To}] {
			s.perform(m, m.agreed.Step(s.clock(m), each.message))
		}
	}
	for _, id := range s.ids() {
		if m := s.members[id]; m.up && !m.hung {
			s.perform(m, m.agreed.Tick(s.clock(m)))
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

// until steps until a condition holds, at most a minute of simulated time.
func (s *simulation) until(what string, condition func() bool) {
	for end := s.now + time.Minute; !condition(); {
		assert.Assert(s.t, s.now < end, "waited a minute for: %s", what)
		s.step()
		s.adjust()
	}
}

func (s *simulation) ids() []replicator.MemberID {
	return slices.Sorted(maps.Keys(s.members))
}

func (s *simulation) send(message replicator.PeerMessage) {
	copies := 1
	if s.random.IntN(100) < s.network.duplicates {
		copies = 2
	}
	for range copies {
		if s.random.IntN(100) < s.network.loss {
			continue
		}
		delay := s.network.minDelay + time.Duration(s.random.Int64N(int64(s.network.maxDelay-s.network.minDelay)+1))
		s.flights = append(s.flights, flight{at: s.now + delay, message: message})
	}
}

// perform does the effects in order; a failed write ends them and the member.
func (s *simulation) perform(m *member, effects []replicator.Effect) {
	for _, effect := range effects {
		if !m.up {
			return
		}
		switch e := effect.(type) {
		case replicator.Save:
			s.save(m, e)
		case replicator.Send:
			s.send(e.Message)
		case replicator.Apply:
			s.apply(m, e.Entries)
		case replicator.Restore:
			assert.NilError(s.t, m.state.Restore(e.Snapshot.Data))
			s.checkEnforced(m)
		case replicator.TakeSnapshot:
			data, err := m.state.Snapshot()
			assert.NilError(s.t, err)
			snapshot := replicator.Snapshot{Index: e.Index, Term: e.Term, Membership: e.Membership, Data: data}
			s.perform(m, m.agreed.Step(s.clock(m), replicator.SnapshotTaken{Snapshot: snapshot}))
		case replicator.Proposed:
			m.placed[e.Index] = placement{term: e.Term, reply: m.unplaced[e.Ref]}
			delete(m.unplaced, e.Ref)
		case replicator.RoleChanged:
			s.checkLeader(m, e)
		case replicator.Halt:
			s.t.Fatalf("member %s halted: %v", m.id, e.Reason)
		}
	}
}

func (s *simulation) save(m *member, save replicator.Save) {
	if m.failWrite {
		m.failWrite = false
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

// checkLogMatching requires that an index and term name one entry with one predecessor, everywhere and for ever.
func (s *simulation) checkLogMatching(entries []replicator.Entry, added int) {
	for i := max(1, len(entries)-added); i < len(entries); i++ {
		entry := entries[i]
		text := fmt.Sprintf("%d|%s|%s|%v", entries[i-1].Term, entry.Kind, entry.Data, entry.Membership)
		key := entryKey{entry.Index, entry.Term}
		if known, ok := s.logged[key]; ok && known != text {
			s.t.Fatalf("logs differ at index %d of term %d", entry.Index, entry.Term)
		}
		s.logged[key] = text
	}
}

func (s *simulation) checkLeader(m *member, e replicator.RoleChanged) {
	m.role = e
	if e.Role != replicator.RoleLeader {
		return
	}
	other, ok := s.leaders[e.Term]
	assert.Assert(s.t, !ok || other == m.id, "term %d has the leaders %s and %s", e.Term, other, m.id)
	assert.Assert(s.t, !s.lost[m.id], "a member without a disk leads")
	s.leaders[e.Term] = m.id
	// A leader has every committed entry: those above its snapshot are compared one by one.
	for _, entry := range m.disk.Entries {
		if committed, ok := s.committed[entry.Index]; ok {
			assert.Equal(s.t, entry.Term, committed.Term, "leader %s of term %d lacks committed entry %d", m.id, e.Term, entry.Index)
		}
	}
	assert.Assert(s.t, m.agreed.Status().LastIndex >= s.highest, "leader %s of term %d lacks committed entries", m.id, e.Term)
}

func (s *simulation) apply(m *member, entries []replicator.Entry) {
	for _, entry := range entries {
		known, ok := s.committed[entry.Index]
		assert.Assert(s.t, !ok || (known.Term == entry.Term && string(known.Data) == string(entry.Data)), "two entries were committed at %d", entry.Index)
		if !ok {
			s.committed[entry.Index] = entry
		}
		if !ok && entry.Index > s.highest {
			s.highest = entry.Index
			if entry.Membership != nil {
				s.agreed = *entry.Membership
			}
		}
		outcome := promoter.Outcome{Result: promoter.ResultAccepted}
		if entry.Kind == replicator.EntryCommand {
			command, err := promoter.Decode(entry.Data)
			assert.NilError(s.t, err)
			outcome = m.state.Apply(command)
			s.checkFencing(command, outcome, !ok)
		}
		if waiting, ok := m.placed[entry.Index]; ok && waiting.term == entry.Term && waiting.reply != nil {
			waiting.reply(outcome)
		}
		delete(m.placed, entry.Index)
	}
	s.checkEnforced(m)
}

// checkFencing requires each grant of the lease to have a higher number than all before it.
func (s *simulation) checkFencing(command promoter.Command, outcome promoter.Outcome, first bool) {
	if command.AcquireLease == nil || !outcome.Accepted() || !first {
		return
	}
	assert.Assert(s.t, outcome.Lease.FencingToken > s.fencing, "fencing number %d after %d", outcome.Lease.FencingToken, s.fencing)
	s.fencing = outcome.Lease.FencingToken
}

func (s *simulation) checkEnforced(m *member) {
	m.enforced = max(m.enforced, m.state.Version())
}

// leader returns the member that leads the highest term, or nil.
func (s *simulation) leader() *member {
	var best *member
	for _, id := range s.ids() {
		m := s.members[id]
		if !m.up || m.hung || m.role.Role != replicator.RoleLeader {
			continue
		}
		if best == nil || m.role.Term > best.role.Term {
			best = m
		}
	}
	return best
}

// propose hands a command to a member and reports whether it was refused; reply is called when that member applies it.
func (s *simulation) propose(m *member, command promoter.Command, reply func(promoter.Outcome)) (refused bool) {
	data, err := promoter.Encode(command)
	assert.NilError(s.t, err)
	s.local(m, func(ref uint64) replicator.Message {
		m.unplaced[ref] = reply
		return replicator.Propose{Ref: ref, Data: data}
	})
	_, refused = m.unplaced[s.nextRef]
	return refused
}

func (s *simulation) local(m *member, build func(ref uint64) replicator.Message) {
	s.nextRef++
	s.perform(m, m.agreed.Step(s.clock(m), build(s.nextRef)))
}

// accept proposes until the outcome is known and returns it.
func (s *simulation) accept(command promoter.Command) promoter.Outcome {
	var outcome *promoter.Outcome
	next := s.now
	s.until("an outcome of "+command.RequestID, func() bool {
		if m := s.leader(); m != nil && s.now >= next {
			next = s.now + 3*time.Second
			s.propose(m, command, func(o promoter.Outcome) { outcome = &o })
		}
		return outcome != nil
	})
	return *outcome
}

// adjust does what the controller's leader does for the membership: it adds new disks as learners and swaps them in.
func (s *simulation) adjust() {
	m := s.leader()
	if m == nil {
		return
	}
	status := m.agreed.Status()
	for _, id := range s.ids() {
		known := status.Membership.IsVoter(id) || status.Membership.IsLearner(id) || status.Membership.IsRetired(id)
		if !known && s.members[id].up {
			s.local(m, func(ref uint64) replicator.Message {
				return replicator.AddLearner{Ref: ref, ID: id, Address: anyAddress}
			})
			return
		}
	}
	for _, learner := range status.Membership.Learners {
		if s.holdReplacement {
			return
		}
		for _, voter := range status.Membership.Voters {
			if voter.VM() == learner.VM() {
				s.local(m, func(ref uint64) replicator.Message {
					return replicator.ReplaceVoter{Ref: ref, Lost: voter, Successor: learner}
				})
				return
			}
		}
	}
}

func promote(requestID string, version uint64, digest string) promoter.Command {
	return promoter.Command{RequestID: requestID, Promote: &promoter.Promote{
		Version: version, Digest: digest, Text: []byte(digest), Operator: requestID, WithoutTrial: true,
	}}
}
