package tracker

import (
	"math/bits"
	"sort"
	"time"
)

// Tracker maintains the membership table of one process.
type Tracker struct {
	config        Config
	zone          string
	self          Update
	members       table
	remoteZones   map[string]remoteZone
	roster        map[string]string
	probes        probeQueue
	loads         []PoolLoad
	nextProbe     time.Time
	nextAggregate time.Time
}

// New returns a tracker whose table holds only the local process.
func New(config Config) *Tracker {
	config = config.withDefaults()
	return &Tracker{
		config:      config,
		zone:        config.Self.Zone,
		self:        Update{Name: config.Self.Name, Incarnation: config.Self.Incarnation, State: StateLive},
		members:     newTable(),
		remoteZones: map[string]remoteZone{},
		roster:      map[string]string{},
		probes:      newProbeQueue(),
	}
}

// Step handles one message and returns the resulting effects.
func (t *Tracker) Step(now time.Time, m Message) []Effect {
	switch m := m.(type) {
	case Roster:
		t.setRoster(now, m)
	case Version:
		t.self.Version = max(t.self.Version, m.Number)
	case Load:
		t.loads = m.Pools
	case Stop:
		t.self.State = StateStopping
	case Probe:
		return t.handleProbe(now, m)
	case ProbeReply:
		return t.handleReply(now, m)
	case Aggregate:
		t.mergeAggregate(now, m)
	}
	return nil
}

// Tick handles expired timers and returns the resulting effects.
func (t *Tracker) Tick(now time.Time) []Effect {
	effects := t.expireProbes(now)
	effects = append(effects, t.expireSuspects(now)...)
	t.expireDead(now)
	t.expireAggregates(now)
	effects = append(effects, t.probeNext(now)...)
	return append(effects, t.sendAggregates(now)...)
}

// Members returns this process and the members of the local availability zone that have been observed, sorted by name.
func (t *Tracker) Members() []Update {
	list := []Update{t.self}
	for _, name := range t.members.names {
		if r := t.members.rows[name]; r.observed {
			list = append(list, r.Update)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

// NewestConfig returns the member with the highest configuration version above the given version.
func (t *Tracker) NewestConfig(above uint64) (Update, bool) {
	var best Update
	for _, name := range t.members.names {
		r := t.members.rows[name]
		if r.State != StateDead && r.Version > max(above, best.Version) {
			best = r.Update
		}
	}
	return best, best.Version > above
}

func (t *Tracker) setRoster(now time.Time, roster Roster) {
	t.roster = map[string]string{}
	for _, member := range roster.Members {
		t.roster[member.Name] = member.Zone
		t.addFromRoster(now, member)
	}
	for _, name := range append([]string(nil), t.members.names...) {
		if _, ok := t.roster[name]; !ok {
			t.members.remove(name)
		}
	}
}

func (t *Tracker) addFromRoster(now time.Time, member Member) {
	_, known := t.members.rows[member.Name]
	if known || member.Zone != t.zone || member.Name == t.self.Name {
		return
	}
	t.members.add(&row{Update: Update{Name: member.Name, State: StateLive}, stateSince: now})
}

// mergeUpdate merges one update into the table. A wrong update about this process is refuted with a higher
// incarnation.
func (t *Tracker) mergeUpdate(now time.Time, u Update) []Effect {
	if u.Name == t.self.Name {
		t.refute(u)
		return nil
	}
	r, ok := t.members.rows[u.Name]
	if !ok {
		return nil
	}
	if r.observed && !r.overriddenBy(u) {
		return nil
	}
	before := r.State
	wasObserved := r.observed
	r.set(now, u)
	if wasObserved && before == u.State {
		return nil
	}
	return []Effect{StateChanged{Member: r.Update, Before: before, After: u.State}}
}

func (t *Tracker) refute(u Update) {
	newer := u.Incarnation > t.self.Incarnation
	suspected := u.Incarnation == t.self.Incarnation && (u.State == StateSuspect || u.State == StateDead)
	if newer || suspected {
		t.self.Incarnation = u.Incarnation + 1
	}
}

func (t *Tracker) expireSuspects(now time.Time) []Effect {
	var effects []Effect
	for _, name := range t.members.names {
		r := t.members.rows[name]
		if r.State != StateSuspect || now.Sub(r.stateSince) < t.config.SuspectTimeout {
			continue
		}
		dead := r.Update
		dead.State = StateDead
		effects = append(effects, t.mergeUpdate(now, dead)...)
	}
	return effects
}

// expireDead marks members that have been dead for longer than the tombstone timeout as not observed. Their next update
// is then accepted at any incarnation, so that they may rejoin.
func (t *Tracker) expireDead(now time.Time) {
	for _, name := range t.members.names {
		r := t.members.rows[name]
		if r.State == StateDead && now.Sub(r.stateSince) > t.config.TombstoneTimeout {
			r.observed = false
		}
	}
}

// selectUpdates returns the updates to attach to one message: the row of this process first, then the rows with the
// fewest sends.
func (t *Tracker) selectUpdates() []Update {
	updates := []Update{t.self}
	limit := retransmitLimit(len(t.members.names))
	var candidates []*row
	for _, name := range t.members.names {
		if r := t.members.rows[name]; r.observed && r.sendCount < limit {
			candidates = append(candidates, r)
		}
	}
	sort.SliceStable(candidates, func(i, j int) bool { return candidates[i].sendCount < candidates[j].sendCount })
	for _, r := range candidates[:min(len(candidates), updatesPerMessage-1)] {
		r.sendCount++
		updates = append(updates, r.Update)
	}
	return updates
}

// retransmitLimit returns the number of sends after which an update has reached all members with high probability.
func retransmitLimit(members int) int {
	const factor = 4
	return factor * (bits.Len(uint(members)) + 1)
}
