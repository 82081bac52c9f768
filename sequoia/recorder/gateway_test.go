package recorder

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

const gatewayTimeout = 4 * time.Second

// gateway handles callers' requests like the gateway program does, as far as booking records are concerned.
type gateway struct {
	w    *world
	name string
	hung bool
	dead bool
	held []func()
	next int
	via  string // VM to ask in place of the primary
}

// primary returns the VM that the gateway takes for the primary; on a bad day its knowledge is out of date.
func (g *gateway) primary() string {
	if g.via != "" {
		return g.via
	}
	if g.w.stale > 0 && g.w.rng.Float64() < g.w.stale {
		vms := slices.Sorted(maps.Keys(g.w.nodes))
		return vms[g.w.rng.IntN(len(vms))]
	}
	return vmOf(g.w.view.Primary)
}

// booking is one request of a caller with one gateway; told is the outcome that the caller got, or "".
type booking struct {
	g       *gateway
	begin   Begin
	refuse  bool // the upstream refuses the connection, so no byte is sent
	arrived time.Time
	replied bool
	tries   int
	told    string
}

func (g *gateway) book(key string, refuse bool) *booking {
	g.next++
	attempt := fmt.Sprintf("%s-%d", g.name, g.next)
	b := &booking{g: g, refuse: refuse, arrived: g.w.now, begin: Begin{
		Zone: testZone, Organisation: "kiosks-cairo", Key: key, Digest: "body", Service: "kiosk-core", Attempt: attempt,
	}}
	b.sendBegin()
	return b
}

// run does something in the gateway's process now, after its hang, or never when it is dead.
func (g *gateway) run(do func()) {
	switch {
	case g.dead:
	case g.hung:
		g.held = append(g.held, do)
	default:
		do()
	}
}

func (g *gateway) resume() {
	held := g.held
	g.hung, g.held = false, nil
	for _, do := range held {
		do()
	}
}

func (b *booking) sendBegin() {
	b.tries++
	try := b.tries
	b.g.w.ask(b.g.name, b.g.primary(), "begin", b.begin, func(reply Reply) {
		b.g.w.onStep("reply")
		b.g.run(func() { b.onReply(try, reply) })
	})
	b.g.w.after(gatewayTimeout, func() { b.g.run(func() { b.onReply(try, Reply{Outcome: OutcomeNotPrimary}) }) })
}

// lookUp asks for the outcome of a key; absent is what a caller takes for not run.
func (g *gateway) lookUp(key string) *booking {
	b := &booking{g: g, arrived: g.w.now, begin: Begin{Key: key}}
	g.w.ask(g.name, g.primary(), "lookup", Lookup{Zone: testZone, Organisation: "kiosks-cairo", Key: key}, func(reply Reply) {
		told := map[Outcome]string{OutcomeReplay: "ran", OutcomeAbsent: "not-run", OutcomeRefused: "not-run"}[reply.Outcome]
		b.tell(cmp.Or(told, "unknown"))
	})
	return b
}

func (b *booking) onReply(try int, reply Reply) {
	if b.replied || try != b.tries {
		return
	}
	if reply.Outcome == OutcomeNotPrimary && b.tries == 1 {
		b.sendBegin()
		return
	}
	b.replied = true
	switch reply.Outcome {
	case OutcomeGranted:
		b.g.w.onStep("send")
		b.g.run(func() { b.use(reply.Permit) })
	case OutcomeReplay:
		b.g.w.answered[b.begin.Key] = true
		b.tell("ran")
	case OutcomeRefused:
		b.tell("not-run")
	case OutcomeUnavailable, OutcomeNotPrimary:
		b.settle("release", b.begin.Release(), 3, func(Reply) {})
		b.tell("unknown")
	default:
		b.tell(string(reply.Outcome))
	}
}

// use sends the call or, when no byte can be sent, gives the permit back.
func (b *booking) use(permit Permit) {
	if b.refuse {
		b.settle("release", permit.Release(), 3, func(Reply) {})
		b.tell("not-run")
		return
	}
	w := b.g.w
	w.after(time.Millisecond, func() {
		w.executed[permit.Key] = append(w.executed[permit.Key], w.now)
		w.trace("the service runs " + permit.Key)
		w.after(time.Millisecond, func() {
			w.onStep("answer")
			b.g.run(func() { b.finish(permit) })
		})
	})
}

func (b *booking) finish(permit Permit) {
	done := func(reply Reply) {
		if reply.Outcome == OutcomeDone {
			b.g.w.answered[permit.Key] = true
		}
		b.g.w.onStep("done")
		b.g.run(func() { b.tell("ran") })
	}
	b.settle("finish", permit.Finish(ResultAnswered, Response{Status: 201, Body: []byte("booked")}), 6, done)
}

// settle sends a request until it is answered by the primary, at most the given number of times.
func (b *booking) settle(step string, request Request, tries int, done func(Reply)) {
	answered := false
	b.g.w.ask(b.g.name, b.g.primary(), step, request, func(reply Reply) {
		b.g.run(func() {
			if answered || reply.Outcome == OutcomeNotPrimary || reply.Outcome == OutcomeUnavailable {
				return
			}
			answered = true
			done(reply)
		})
	})
	b.g.w.after(gatewayTimeout, func() {
		b.g.run(func() {
			if !answered && tries > 1 {
				answered = true
				b.settle(step, request, tries-1, done)
			}
		})
	})
}

func (b *booking) tell(outcome string) {
	if b.told != "" {
		return
	}
	b.told = outcome
	w := b.g.w
	w.trace(fmt.Sprintf("%s tells %s", b.g.name, outcome))
	runs := w.executed[b.begin.Key]
	if outcome == "not-run" && len(runs) > 0 && runs[0].Before(b.arrived) {
		w.broken("%s was told not-run for %s, which ran before the request", b.g.name, b.begin.Key)
	}
	if outcome == "ran" && len(runs) == 0 {
		w.broken("%s was told ran for %s, which did not run", b.g.name, b.begin.Key)
	}
}
