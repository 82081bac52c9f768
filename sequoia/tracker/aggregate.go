package tracker

import (
	"maps"
	"math/bits"
	"slices"
	"sort"
	"time"
)

// remoteZone holds the newest aggregate of another availability zone. createdAt is the local receive time less the age
// of the aggregate.
type remoteZone struct {
	aggregate Aggregate
	createdAt time.Time
	sendCount int
}

// RemoteAggregates returns the aggregates of the other availability zones that are not older than
// Config.AggregateMaxAge, sorted by zone name.
func (t *Tracker) RemoteAggregates(now time.Time) []Aggregate {
	var list []Aggregate
	for _, zone := range slices.Sorted(maps.Keys(t.remoteZones)) {
		list = append(list, t.remoteZones[zone].aggregateAt(now))
	}
	return slices.DeleteFunc(list, func(a Aggregate) bool { return a.Age > t.config.AggregateMaxAge })
}

func (r remoteZone) aggregateAt(now time.Time) Aggregate {
	aggregate := r.aggregate
	aggregate.Age = now.Sub(r.createdAt)
	return aggregate
}

// mergeAggregate keeps the newer of two aggregates. It compares ages, so the clocks of the VMs need not agree. An
// aggregate that is newer by less than half an interval is ignored: it was sent by the second sender of the zone, and
// forwarding it would add traffic without new information.
func (t *Tracker) mergeAggregate(now time.Time, a Aggregate) {
	if a.Zone == t.zone || a.Age < 0 {
		return
	}
	createdAt := now.Add(-a.Age)
	if known, ok := t.remoteZones[a.Zone]; ok && createdAt.Sub(known.createdAt) < t.config.AggregateInterval/2 {
		return
	}
	t.remoteZones[a.Zone] = remoteZone{aggregate: a, createdAt: createdAt}
}

func (t *Tracker) expireAggregates(now time.Time) {
	maps.DeleteFunc(t.remoteZones, func(_ string, r remoteZone) bool { return now.Sub(r.createdAt) > t.config.AggregateMaxAge })
}

// selectAggregates returns the aggregates to attach to one message, those with the fewest sends first. Their send
// limit is lower than that of updates, because each one is superseded within the aggregate interval.
func (t *Tracker) selectAggregates(now time.Time) []Aggregate {
	zones := slices.Sorted(maps.Keys(t.remoteZones))
	limit := bits.Len(uint(len(t.members.names))) + 1
	zones = slices.DeleteFunc(zones, func(zone string) bool { return t.remoteZones[zone].sendCount >= limit })
	sort.SliceStable(zones, func(i, j int) bool { return t.remoteZones[zones[i]].sendCount < t.remoteZones[zones[j]].sendCount })
	var list []Aggregate
	for _, zone := range zones[:min(len(zones), aggregatesPerMessage)] {
		r := t.remoteZones[zone]
		r.sendCount++
		t.remoteZones[zone] = r
		list = append(list, r.aggregateAt(now))
	}
	return list
}

// sendAggregates sends the aggregate of the local availability zone to one VM of each other zone, if this VM is one of
// the zone's senders.
func (t *Tracker) sendAggregates(now time.Time) []Effect {
	if now.Before(t.nextAggregate) {
		return nil
	}
	t.nextAggregate = now.Add(t.config.AggregateInterval)
	live := t.liveMembers()
	if !t.sendsAggregate(live) {
		return nil
	}
	aggregate := Aggregate{Zone: t.zone, Live: len(live), Members: t.sampleMembers(live), Loads: t.loads}
	var effects []Effect
	targets := t.aggregateTargets()
	for _, zone := range slices.Sorted(maps.Keys(targets)) {
		names := targets[zone]
		effects = append(effects, SendAggregate{To: names[t.config.Rand.IntN(len(names))], Aggregate: aggregate})
	}
	return effects
}

func (t *Tracker) liveMembers() []string {
	var live []string
	for _, u := range t.Members() {
		if u.State == StateLive {
			live = append(live, u.Name)
		}
	}
	return live
}

func (t *Tracker) sendsAggregate(live []string) bool {
	senders := live[:min(len(live), aggregateSenders)]
	return slices.Contains(senders, t.self.Name)
}

func (t *Tracker) sampleMembers(live []string) []string {
	sampled := slices.Clone(live)
	t.config.Rand.Shuffle(len(sampled), func(i, j int) { sampled[i], sampled[j] = sampled[j], sampled[i] })
	return sampled[:min(len(sampled), aggregateMembers)]
}

// aggregateTargets returns the VMs that may receive an aggregate in each other availability zone of the roster: those
// named by the zone's newest aggregate, or all its VMs in the roster if no aggregate is known.
func (t *Tracker) aggregateTargets() map[string][]string {
	targets := map[string][]string{}
	for _, name := range slices.Sorted(maps.Keys(t.roster)) {
		zone := t.roster[name]
		if zone != t.zone {
			targets[zone] = append(targets[zone], name)
		}
	}
	for zone, known := range t.remoteZones {
		if _, ok := targets[zone]; !ok || len(known.aggregate.Members) == 0 {
			continue
		}
		targets[zone] = known.aggregate.Members
	}
	return targets
}
