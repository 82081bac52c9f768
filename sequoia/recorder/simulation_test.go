package recorder

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const (
	testZone  = "cairo-a"
	testTick  = 200 * time.Millisecond
	consensus = "quorum" // name of the consensus group in blockedLinks
)

var testStart = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

// node is a member process on one VM. Its entries survive a crash but not the loss of its disk.
type node struct {
	vm              string
	incarnation     int
	member          *Recorder
	meta            Meta
	entries         map[string]Entry
	up              bool
	hung            bool
	queued          []func()
	clockSkew       time.Duration
	failNextWrite   bool // the next synced write fails
	keepFailedWrite bool // the failed write reaches the disk nevertheless
}

func (n *node) id() string { return fmt.Sprintf("%s#%d", n.vm, n.incarnation) }

type event struct {
	at    time.Time
	order int
	run   func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// simulation runs members, a consensus group, gateways and a service in virtual time. It is deterministic for a seed.
type simulation struct {
	tb            testing.TB
	rng           *rand.Rand
	config        Config
	now           time.Time
	queue         events
	order         int
	nodes         map[string]*node
	view          View
	blockedLinks  map[string]bool // "from>to"
	dropRate      float64
	staleRate     float64 // fraction of requests that go to a random member
	duplicateRate float64
	jitter        time.Duration
	baseDelay     time.Duration // minimum delay of a message
	tokens        map[uint64]func(Reply)
	token         uint64
	onStep        func(step string)
	onViewAgreed  func(View)
	trace         func(line string)
	executed      map[string][]time.Time
	acknowledged  map[string]bool // keys whose Finish was acknowledged
	allDisksLost  bool            // every member of a view lost its disk
	violations    []string        // violated invariants
}

func newSimulation(tb testing.TB, seed uint64, vms ...string) *simulation {
	sim := &simulation{
		tb: tb, rng: rand.New(rand.NewPCG(seed, 1)), now: testStart, nodes: map[string]*node{},
		blockedLinks: map[string]bool{}, tokens: map[uint64]func(Reply){}, jitter: 2 * time.Millisecond,
		onStep: func(string) {}, onViewAgreed: func(View) {}, trace: func(string) {}, executed: map[string][]time.Time{}, acknowledged: map[string]bool{},
	}
	for _, vm := range vms {
		n := &node{vm: vm, incarnation: 1, entries: map[string]Entry{}}
		sim.nodes[vm] = n
		sim.view.Members = append(sim.view.Members, n.id())
	}
	sim.view.Zone, sim.view.Number, sim.view.Epoch, sim.view.Primary = testZone, 1, 1, sim.view.Members[0]
	for _, vm := range vms {
		sim.boot(sim.nodes[vm])
		sim.scheduleTick(sim.nodes[vm])
	}
	return sim
}

func (sim *simulation) after(d time.Duration, run func()) {
	sim.order++
	heap.Push(&sim.queue, event{at: sim.now.Add(d), order: sim.order, run: run})
}

func (sim *simulation) runFor(d time.Duration) {
	end := sim.now.Add(d)
	for len(sim.queue) > 0 && !sim.queue[0].at.After(end) {
		next := heap.Pop(&sim.queue).(event)
		sim.now = next.at
		next.run()
	}
	sim.now = end
}

func (sim *simulation) runUntil(limit time.Duration, done func() bool) {
	for end := sim.now.Add(limit); !done() && sim.now.Before(end); {
		sim.runFor(10 * time.Millisecond)
	}
}

func (sim *simulation) boot(n *node) {
	config := sim.config
	config.MemberID, config.Zone, config.Initial = n.id(), testZone, n.incarnation == 1
	config.Restored = State{Meta: n.meta, Entries: slices.Collect(maps.Values(n.entries))}
	n.member = New(config)
	n.up, n.hung, n.queued = true, false, nil
	if !sim.isBlocked(consensus, n.vm) {
		sim.step(n, Install{View: sim.view})
	}
}

func (sim *simulation) crash(n *node) { sim.trace("CRASH " + n.id()); n.up = false }

func (sim *simulation) loseDisk(n *node) {
	sim.trace("LOSE " + n.id())
	sim.crash(n)
	n.incarnation++
	n.meta, n.entries = Meta{}, map[string]Entry{}
	sim.allDisksLost = sim.allDisksLost || !slices.ContainsFunc(sim.view.Members, func(m string) bool {
		return m == sim.nodes[vmOf(m)].id()
	})
}

func (sim *simulation) resume(n *node) {
	queued := n.queued
	n.hung, n.queued = false, nil
	for _, run := range queued {
		run()
	}
}

// runOnNode runs a function in a node's process: at once, after a hang, or never if the node is down.
func (sim *simulation) runOnNode(n *node, run func()) {
	switch {
	case !n.up:
	case n.hung:
		member := n.member
		n.queued = append(n.queued, func() {
			if n.up && n.member == member {
				run()
			}
		})
	default:
		run()
	}
}

func (sim *simulation) scheduleTick(n *node) {
	sim.after(testTick, func() {
		sim.scheduleTick(n)
		if !n.up || n.hung {
			return
		}
		sim.applyEffects(n, n.member.Tick(sim.now.Add(n.clockSkew)))
		if !sim.isBlocked(consensus, n.vm) && n.up {
			sim.step(n, Install{View: sim.view})
			sim.step(n, Retire{Members: sim.retired()})
		}
	})
}

// retired returns the member ids of nodes that run again with a new disk.
func (sim *simulation) retired() []string {
	var members []string
	for _, vm := range slices.Sorted(maps.Keys(sim.nodes)) {
		last := sim.nodes[vm].incarnation
		if !sim.nodes[vm].up {
			last--
		}
		for number := 1; number < last; number++ {
			members = append(members, fmt.Sprintf("%s#%d", vm, number))
		}
	}
	return members
}

func (sim *simulation) step(n *node, m Message) {
	sim.applyEffects(n, n.member.Step(sim.now.Add(n.clockSkew), m))
}

func (sim *simulation) applyEffects(n *node, effects []Effect) {
	member := n.member
	for _, effect := range effects {
		if !n.up || n.member != member {
			return
		}
		if n.hung {
			n.queued = append(n.queued, func() {
				if n.up && n.member == member {
					sim.applyEffect(n, effect)
				}
			})
			continue
		}
		sim.applyEffect(n, effect)
	}
}

func (sim *simulation) applyEffect(n *node, effect Effect) {
	switch e := effect.(type) {
	case Persist:
		sim.persist(n, e)
	case Send:
		sim.trace(fmt.Sprintf("%s sends %s", n.id(), describe(e.Message)))
		sim.send(n.vm, vmOf(e.To), func(to *node) { sim.deliver(to, e.Message) })
	case Respond:
		if onReply := sim.tokens[e.Token]; onReply != nil {
			delete(sim.tokens, e.Token)
			onReply(e.Reply)
		}
	case Propose:
		sim.trace(fmt.Sprintf("%s proposes view %d %v", n.id(), e.View.Number, e.View.Members))
		if !sim.isBlocked(n.vm, consensus) {
			id := n.id()
			sim.after(sim.delay(), func() { sim.agreeView(id, e) })
		}
	}
}

func (sim *simulation) persist(n *node, p Persist) {
	fail := n.failNextWrite
	n.failNextWrite = false
	if fail {
		sim.crash(n)
	}
	if fail && !n.keepFailedWrite {
		return
	}
	if p.Clear {
		n.entries = map[string]Entry{}
	}
	for _, entry := range p.Entries {
		n.entries[entry.ID] = entry
		sim.trace(fmt.Sprintf("%s syncs %s", n.id(), entry.ID))
	}
	for _, id := range p.Removed {
		delete(n.entries, id)
	}
	n.meta = p.Meta
}

// agreeView applies the same rules to a proposal as the promoter package.
func (sim *simulation) agreeView(proposer string, p Propose) {
	shared := slices.ContainsFunc(sim.view.Members, p.View.Has)
	if p.View.Number != sim.view.Number+1 || !shared && len(p.LostMembers) == 0 {
		return
	}
	if len(p.LostMembers) > 0 {
		p.View.EpochStart = sim.now
	}
	sim.view = p.View
	// The records are lost if the proposer lost its disk while its proposal was in flight.
	sim.allDisksLost = sim.allDisksLost || proposer != sim.nodes[vmOf(proposer)].id()
	sim.onViewAgreed(p.View)
	sim.trace(fmt.Sprintf("agreed view %d epoch %d %v", sim.view.Number, sim.view.Epoch, sim.view.Members))
	for _, vm := range slices.Sorted(maps.Keys(sim.nodes)) {
		sim.send(consensus, vm, func(n *node) { sim.step(n, Install{View: p.View}) })
	}
}

func (sim *simulation) addViolation(format string, values ...any) {
	sim.violations = append(sim.violations, fmt.Sprintf(format, values...))
}
