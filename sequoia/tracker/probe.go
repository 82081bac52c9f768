package tracker

import (
	"maps"
	"slices"
	"time"
)

// pendingProbe is a probe that waits for its reply.
type pendingProbe struct {
	target   string
	deadline time.Time
	relayed  bool
	// asker and askerID are set for a probe made on behalf of another VM.
	asker   string
	askerID uint64
}

// probeQueue holds the order in which members are probed and the probes that wait for a reply.
type probeQueue struct {
	order   []string
	pending map[uint64]pendingProbe
	lastID  uint64
}

func newProbeQueue() probeQueue {
	return probeQueue{pending: map[uint64]pendingProbe{}}
}

func (q *probeQueue) start(p pendingProbe) uint64 {
	q.lastID++
	q.pending[q.lastID] = p
	return q.lastID
}

// probeNext probes the next member in a shuffled order, so that each is probed once per round.
func (t *Tracker) probeNext(now time.Time) []Effect {
	if now.Before(t.nextProbe) {
		return nil
	}
	t.nextProbe = now.Add(t.config.ProbeInterval)
	target, ok := t.nextTarget()
	if !ok {
		return nil
	}
	return []Effect{t.probe(now, pendingProbe{target: target})}
}

func (t *Tracker) nextTarget() (string, bool) {
	if len(t.probes.order) == 0 {
		t.probes.order = slices.Clone(t.members.names)
		t.config.Rand.Shuffle(len(t.probes.order), func(i, j int) {
			t.probes.order[i], t.probes.order[j] = t.probes.order[j], t.probes.order[i]
		})
	}
	for len(t.probes.order) > 0 {
		target := t.probes.order[0]
		t.probes.order = t.probes.order[1:]
		if _, ok := t.members.rows[target]; ok {
			return target, true
		}
	}
	return "", false
}

func (t *Tracker) probe(now time.Time, p pendingProbe) Effect {
	p.deadline = now.Add(t.config.ProbeTimeout)
	id := t.probes.start(p)
	return SendProbe{To: p.target, Probe: t.newProbe(now, id, "")}
}

func (t *Tracker) newProbe(now time.Time, id uint64, target string) Probe {
	return Probe{ID: id, From: t.self.Name, Target: target, Updates: t.spread(), Aggregates: t.spreadAggregates(now)}
}

func (t *Tracker) answerProbe(now time.Time, p Probe) []Effect {
	effects := t.takeAll(now, p.Updates, p.Aggregates)
	if p.Target != "" && p.Target != t.self.Name {
		return append(effects, t.probe(now, pendingProbe{target: p.Target, relayed: true, asker: p.From, askerID: p.ID}))
	}
	return append(effects, SendReply{To: p.From, Reply: t.newReply(now, p.ID, p.From)})
}

// newReply tells a member that is believed suspect or dead so in any case, since only it can refute that.
func (t *Tracker) newReply(now time.Time, id uint64, to string) ProbeReply {
	updates := t.spread()
	if r, ok := t.members.rows[to]; ok && r.seen && (r.State == StateSuspect || r.State == StateDead) {
		updates = append(updates, r.Update)
	}
	return ProbeReply{ID: id, From: t.self.Name, Updates: updates, Aggregates: t.spreadAggregates(now)}
}

func (t *Tracker) takeReply(now time.Time, reply ProbeReply) []Effect {
	effects := t.takeAll(now, reply.Updates, reply.Aggregates)
	pending, ok := t.probes.pending[reply.ID]
	if !ok {
		return effects
	}
	delete(t.probes.pending, reply.ID)
	if pending.asker == "" {
		return effects
	}
	return append(effects, SendReply{To: pending.asker, Reply: t.newReply(now, pending.askerID, pending.asker)})
}

func (t *Tracker) takeAll(now time.Time, updates []Update, aggregates []Aggregate) []Effect {
	var effects []Effect
	for _, u := range updates {
		effects = append(effects, t.take(now, u)...)
	}
	for _, a := range aggregates {
		t.takeAggregate(now, a)
	}
	return effects
}

// expireProbes asks other members to probe a target that did not reply, and suspects it when they get no reply either.
func (t *Tracker) expireProbes(now time.Time) []Effect {
	var effects []Effect
	ids := slices.Sorted(maps.Keys(t.probes.pending))
	for _, id := range ids {
		pending := t.probes.pending[id]
		if now.Before(pending.deadline) {
			continue
		}
		delete(t.probes.pending, id)
		switch {
		case pending.asker != "":
		case pending.relayed:
			effects = append(effects, t.suspect(now, pending.target)...)
		default:
			effects = append(effects, t.askRelays(now, pending)...)
		}
	}
	return effects
}

func (t *Tracker) askRelays(now time.Time, pending pendingProbe) []Effect {
	pending.relayed = true
	// A relay needs its own probe timeout and one round trip more.
	pending.deadline = now.Add(2 * t.config.ProbeTimeout)
	id := t.probes.start(pending)
	var effects []Effect
	for _, relay := range t.relays(pending.target) {
		effects = append(effects, SendProbe{To: relay, Probe: t.newProbe(now, id, pending.target)})
	}
	return effects
}

func (t *Tracker) relays(target string) []string {
	var candidates []string
	for _, name := range t.members.names {
		r := t.members.rows[name]
		if name != target && r.seen && r.State == StateLive {
			candidates = append(candidates, name)
		}
	}
	t.config.Rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	return candidates[:min(len(candidates), relayCount)]
}

func (t *Tracker) suspect(now time.Time, name string) []Effect {
	r, ok := t.members.rows[name]
	if !ok || !r.seen {
		return nil
	}
	switch r.State {
	case StateLive:
		suspect := r.Update
		suspect.State = StateSuspect
		return t.take(now, suspect)
	case StateStopping:
		dead := r.Update
		dead.State = StateDead
		return t.take(now, dead)
	default:
		return nil
	}
}
