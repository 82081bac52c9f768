package tracker

import (
	"maps"
	"slices"
	"time"
)

// pendingProbe is a probe whose reply is outstanding.
type pendingProbe struct {
	target   string
	deadline time.Time
	indirect bool
	// requester and requesterID identify the VM and its probe on whose behalf this probe is sent, or are empty.
	requester   string
	requesterID uint64
}

// probeQueue holds the order in which members are probed and the probes whose replies are outstanding.
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

// probeNext probes the next member in a shuffled order, so that every member is probed once per round.
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
	return Probe{ID: id, From: t.self.Name, Target: target, Updates: t.selectUpdates(), Aggregates: t.selectAggregates(now)}
}

func (t *Tracker) handleProbe(now time.Time, p Probe) []Effect {
	effects := t.mergeAll(now, p.Updates, p.Aggregates)
	if p.Target != "" && p.Target != t.self.Name {
		return append(effects, t.probe(now, pendingProbe{target: p.Target, indirect: true, requester: p.From, requesterID: p.ID}))
	}
	return append(effects, SendReply{To: p.From, Reply: t.newReply(now, p.ID, p.From)})
}

// newReply always includes the row of a receiver that is marked suspect or dead, because only the receiver can refute
// that state.
func (t *Tracker) newReply(now time.Time, id uint64, to string) ProbeReply {
	updates := t.selectUpdates()
	if r, ok := t.members.rows[to]; ok && r.observed && (r.State == StateSuspect || r.State == StateDead) {
		updates = append(updates, r.Update)
	}
	return ProbeReply{ID: id, From: t.self.Name, Updates: updates, Aggregates: t.selectAggregates(now)}
}

func (t *Tracker) handleReply(now time.Time, reply ProbeReply) []Effect {
	effects := t.mergeAll(now, reply.Updates, reply.Aggregates)
	pending, ok := t.probes.pending[reply.ID]
	if !ok {
		return effects
	}
	delete(t.probes.pending, reply.ID)
	if pending.requester == "" {
		return effects
	}
	return append(effects, SendReply{To: pending.requester, Reply: t.newReply(now, pending.requesterID, pending.requester)})
}

func (t *Tracker) mergeAll(now time.Time, updates []Update, aggregates []Aggregate) []Effect {
	var effects []Effect
	for _, u := range updates {
		effects = append(effects, t.mergeUpdate(now, u)...)
	}
	for _, a := range aggregates {
		t.mergeAggregate(now, a)
	}
	return effects
}

// expireProbes starts indirect probes for a target that did not reply in time, and suspects the target if those fail
// too.
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
		case pending.requester != "":
		case pending.indirect:
			effects = append(effects, t.suspectMember(now, pending.target)...)
		default:
			effects = append(effects, t.sendIndirectProbes(now, pending)...)
		}
	}
	return effects
}

func (t *Tracker) sendIndirectProbes(now time.Time, pending pendingProbe) []Effect {
	pending.indirect = true
	// An indirect probe takes the probe timeout of the relay and one more round trip.
	pending.deadline = now.Add(2 * t.config.ProbeTimeout)
	id := t.probes.start(pending)
	var effects []Effect
	for _, relay := range t.selectRelays(pending.target) {
		effects = append(effects, SendProbe{To: relay, Probe: t.newProbe(now, id, pending.target)})
	}
	return effects
}

func (t *Tracker) selectRelays(target string) []string {
	var candidates []string
	for _, name := range t.members.names {
		r := t.members.rows[name]
		if name != target && r.observed && r.State == StateLive {
			candidates = append(candidates, name)
		}
	}
	t.config.Rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	return candidates[:min(len(candidates), indirectProbeCount)]
}

func (t *Tracker) suspectMember(now time.Time, name string) []Effect {
	r, ok := t.members.rows[name]
	if !ok || !r.observed {
		return nil
	}
	switch r.State {
	case StateLive:
		suspect := r.Update
		suspect.State = StateSuspect
		return t.mergeUpdate(now, suspect)
	case StateStopping:
		dead := r.Update
		dead.State = StateDead
		return t.mergeUpdate(now, dead)
	default:
		return nil
	}
}
