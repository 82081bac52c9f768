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
	testZone = "cairo-a"
	testTick = 200 * time.Millisecond
	quorum   = "quorum" // name of the agreement in cuts
)

var testStart = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

// node is a member process on one VM: its disk outlives a crash, its records do not outlive a lost disk.
type node struct {
	vm       string
	number   int
	member   *Recorder
	meta     Meta
	entries  map[string]Entry
	up       bool
	hung     bool
	held     []func()
	skew     time.Duration
	failNext bool // the next synced write fails
	keepNext bool // and its content reaches the disk all the same
}

func (n *node) id() string { return fmt.Sprintf("%s#%d", n.vm, n.number) }

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

// world runs members, an agreement, gateways and a service in virtual time; its only source of chance is the seed.
type world struct {
	tb        testing.TB
	rng       *rand.Rand
	config    Config
	now       time.Time
	queue     events
	order     int
	nodes     map[string]*node
	view      View
	cuts      map[string]bool // "from>to"
	drop      float64
	stale     float64 // share of requests that go to any member
	duplicate float64
	jitter    time.Duration
	distance  time.Duration // least delay of a message
	tokens    map[uint64]func(Reply)
	token     uint64
	onStep    func(step string)
	onAgree   func(View)
	trace     func(line string)
	executed  map[string][]time.Time
	answered  map[string]bool // keys whose Finish was acknowledged
	lostAll   bool            // every member of a view lost its disk
	faults    []string        // broken invariants
}

func newWorld(tb testing.TB, seed uint64, vms ...string) *world {
	w := &world{
		tb: tb, rng: rand.New(rand.NewPCG(seed, 1)), now: testStart, nodes: map[string]*node{},
		cuts: map[string]bool{}, tokens: map[uint64]func(Reply){}, jitter: 2 * time.Millisecond,
		onStep: func(string) {}, onAgree: func(View) {}, trace: func(string) {}, executed: map[string][]time.Time{}, answered: map[string]bool{},
	}
	for _, vm := range vms {
		n := &node{vm: vm, number: 1, entries: map[string]Entry{}}
		w.nodes[vm] = n
		w.view.Members = append(w.view.Members, n.id())
	}
	w.view.Zone, w.view.Number, w.view.Epoch, w.view.Primary = testZone, 1, 1, w.view.Members[0]
	for _, vm := range vms {
		w.boot(w.nodes[vm])
		w.tickLater(w.nodes[vm])
	}
	return w
}

func (w *world) after(d time.Duration, run func()) {
	w.order++
	heap.Push(&w.queue, event{at: w.now.Add(d), order: w.order, run: run})
}

func (w *world) runFor(d time.Duration) {
	end := w.now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		next := heap.Pop(&w.queue).(event)
		w.now = next.at
		next.run()
	}
	w.now = end
}

func (w *world) runUntil(limit time.Duration, done func() bool) {
	for end := w.now.Add(limit); !done() && w.now.Before(end); {
		w.runFor(10 * time.Millisecond)
	}
}

func (w *world) boot(n *node) {
	config := w.config
	config.MemberID, config.Zone, config.Initial = n.id(), testZone, n.number == 1
	config.Restored = State{Meta: n.meta, Entries: slices.Collect(maps.Values(n.entries))}
	n.member = New(config)
	n.up, n.hung, n.held = true, false, nil
	if !w.cut(quorum, n.vm) {
		w.step(n, Install{View: w.view})
	}
}

func (w *world) crash(n *node) { w.trace("CRASH " + n.id()); n.up = false }

func (w *world) loseDisk(n *node) {
	w.trace("LOSE " + n.id())
	w.crash(n)
	n.number++
	n.meta, n.entries = Meta{}, map[string]Entry{}
	w.lostAll = w.lostAll || !slices.ContainsFunc(w.view.Members, func(m string) bool {
		return m == w.nodes[vmOf(m)].id()
	})
}

func (w *world) resume(n *node) {
	held := n.held
	n.hung, n.held = false, nil
	for _, run := range held {
		run()
	}
}

// onNode runs something on a process now, after its hang, or never when it is down.
func (w *world) onNode(n *node, run func()) {
	switch {
	case !n.up:
	case n.hung:
		member := n.member
		n.held = append(n.held, func() {
			if n.up && n.member == member {
				run()
			}
		})
	default:
		run()
	}
}

func (w *world) tickLater(n *node) {
	w.after(testTick, func() {
		w.tickLater(n)
		if !n.up || n.hung {
			return
		}
		w.perform(n, n.member.Tick(w.now.Add(n.skew)))
		if !w.cut(quorum, n.vm) && n.up {
			w.step(n, Install{View: w.view})
			w.step(n, Retire{Members: w.retired()})
		}
	})
}

// retired returns the members whose VMs run with a new disk.
func (w *world) retired() []string {
	var members []string
	for _, vm := range slices.Sorted(maps.Keys(w.nodes)) {
		last := w.nodes[vm].number
		if !w.nodes[vm].up {
			last--
		}
		for number := 1; number < last; number++ {
			members = append(members, fmt.Sprintf("%s#%d", vm, number))
		}
	}
	return members
}

func (w *world) step(n *node, m Message) {
	w.perform(n, n.member.Step(w.now.Add(n.skew), m))
}

func (w *world) perform(n *node, effects []Effect) {
	member := n.member
	for _, effect := range effects {
		if !n.up || n.member != member {
			return
		}
		if n.hung {
			n.held = append(n.held, func() {
				if n.up && n.member == member {
					w.performOne(n, effect)
				}
			})
			continue
		}
		w.performOne(n, effect)
	}
}

func (w *world) performOne(n *node, effect Effect) {
	switch e := effect.(type) {
	case Persist:
		w.persist(n, e)
	case Send:
		w.trace(fmt.Sprintf("%s sends %s", n.id(), describe(e.Message)))
		w.send(n.vm, vmOf(e.To), func(to *node) { w.deliver(to, e.Message) })
	case Respond:
		if answer := w.tokens[e.Token]; answer != nil {
			delete(w.tokens, e.Token)
			answer(e.Reply)
		}
	case Propose:
		w.trace(fmt.Sprintf("%s proposes view %d %v", n.id(), e.View.Number, e.View.Members))
		if !w.cut(n.vm, quorum) {
			id := n.id()
			w.after(w.delay(), func() { w.agree(id, e) })
		}
	}
}

func (w *world) persist(n *node, p Persist) {
	fail := n.failNext
	n.failNext = false
	if fail {
		w.crash(n)
	}
	if fail && !n.keepNext {
		return
	}
	if p.Clear {
		n.entries = map[string]Entry{}
	}
	for _, entry := range p.Entries {
		n.entries[entry.ID] = entry
		w.trace(fmt.Sprintf("%s syncs %s", n.id(), entry.ID))
	}
	for _, id := range p.Removed {
		delete(n.entries, id)
	}
	n.meta = p.Meta
}

// agree accepts what the promoter accepts.
func (w *world) agree(proposer string, p Propose) {
	shared := slices.ContainsFunc(w.view.Members, p.View.Has)
	if p.View.Number != w.view.Number+1 || !shared && len(p.LostMembers) == 0 {
		return
	}
	if len(p.LostMembers) > 0 {
		p.View.EpochStart = w.now
	}
	w.view = p.View
	// A member that lost its disk while its proposal was on the way takes the records of its view with it.
	w.lostAll = w.lostAll || proposer != w.nodes[vmOf(proposer)].id()
	w.onAgree(p.View)
	w.trace(fmt.Sprintf("agreed view %d epoch %d %v", w.view.Number, w.view.Epoch, w.view.Members))
	for _, vm := range slices.Sorted(maps.Keys(w.nodes)) {
		w.send(quorum, vm, func(n *node) { w.step(n, Install{View: p.View}) })
	}
}

func (w *world) deliver(to *node, m Message) {
	switch m.(type) {
	case Replicate:
		w.onStep("copy")
	case Ack:
		w.onStep("ack")
	case Join:
		w.onStep("join")
	}
	if to.up {
		w.onNode(to, func() { w.step(to, m) })
	}
}

func (w *world) cut(from, to string) bool { return w.cuts[from+">"+to] }

func (w *world) setCut(cut bool, from, to string) { w.cuts[from+">"+to] = cut }

func (w *world) delay() time.Duration {
	return w.distance + time.Millisecond/2 + time.Duration(w.rng.Int64N(int64(w.jitter)))
}

// send carries something to a process; the network may lose, delay, reorder or repeat it.
func (w *world) send(from, to string, run func(n *node)) {
	w.carry(from, to, func() { w.onNode(w.nodes[to], func() { run(w.nodes[to]) }) })
}

func (w *world) carry(from, to string, run func()) {
	if w.cut(from, to) || w.rng.Float64() < w.drop {
		return
	}
	w.after(w.delay(), run)
	if w.rng.Float64() < w.duplicate {
		w.after(w.delay()+20*w.jitter, run)
	}
}

// ask carries a request of a gateway to the primary that it knows and the reply back.
func (w *world) ask(gateway, vm, step string, request Request, answer func(Reply)) {
	w.carry(gateway, vm, func() {
		w.onStep(step)
		w.onNode(w.nodes[vm], func() {
			w.token++
			token := w.token
			w.tokens[token] = func(reply Reply) {
				w.trace(fmt.Sprintf("%s replies %s", vm, reply.Outcome))
				w.carry(vm, gateway, func() { answer(reply) })
			}
			w.step(w.nodes[vm], Call{Token: token, Request: request})
		})
	})
}

func (w *world) broken(format string, values ...any) {
	w.faults = append(w.faults, fmt.Sprintf(format, values...))
}

func describe(m PeerMessage) string {
	switch m := m.(type) {
	case Replicate:
		return fmt.Sprintf("copy to %s view %d (%d, %d] entries %d complete %v", m.To, m.View.Number, m.After, m.Through, len(m.Entries), m.Complete)
	case Ack:
		return fmt.Sprintf("ack to %s view %d applied %d gap %v", m.To, m.View, m.Applied, m.Gap)
	case Join:
		return "join to " + m.To
	case Depart:
		return "depart to " + m.To
	}
	return ""
}
