package tracker

import (
	"maps"
	"math/bits"
	"slices"
	"sort"
	"time"
)

// remoteZone is the newest aggregate of another availability zone; madeAt is by this process's clock.
type remoteZone struct {
	aggregate Aggregate
	madeAt    time.Time
	sends     int
}

// Remote returns the aggregates of other availability zones that are not too old, sorted by name.
func (t *Tracker) RemoteAggregates(now time.Time) []Aggregate {
	var list []Aggregate
	for _, zone := range slices.Sorted(maps.Keys(t.remote)) {
		list = append(list, t.remote[zone].at(now))
	}
	return slices.DeleteFunc(list, func(a Aggregate) bool { return a.Age > t.config.AggregateMaxAge })
}

func (r remoteZone) at(now time.Time) Aggregate {
	aggregate := r.aggregate
	aggregate.Age = now.Sub(r.madeAt)
	return aggregate
}

// takeAggregate keeps the newer of two aggregates by age, which needs no common clock between VMs. One that is newer by
// less than half an interval is ignored: it comes from the second speaker and would be spread for nothing.
func (t *Tracker) takeAggregate(now time.Time, a Aggregate) {
	if a.Zone == t.zone || a.Age < 0 {
		return
	}
	madeAt := now.Add(-a.Age)
	if known, ok := t.remote[a.Zone]; ok && madeAt.Sub(known.madeAt) < t.config.AggregateInterval/2 {
		return
	}
	t.remote[a.Zone] = remoteZone{aggregate: a, madeAt: madeAt}
}

func (t *Tracker) forgetRemote(now time.Time) {
	maps.DeleteFunc(t.remote, func(_ string, r remoteZone) bool { return now.Sub(r.madeAt) > t.config.AggregateMaxAge })
}

// spreadAggregates chooses the aggregates for one message: those that were spread least. They are sent fewer times than
// updates, because the next one replaces them within the aggregate interval.
func (t *Tracker) spreadAggregates(now time.Time) []Aggregate {
	zones := slices.Sorted(maps.Keys(t.remote))
	limit := bits.Len(uint(len(t.members.names))) + 1
	zones = slices.DeleteFunc(zones, func(zone string) bool { return t.remote[zone].sends >= limit })
	sort.SliceStable(zones, func(i, j int) bool { return t.remote[zones[i]].sends < t.remote[zones[j]].sends })
	var list []Aggregate
	for _, zone := range zones[:min(len(zones), aggregatesPerMessage)] {
		r := t.remote[zone]
		r.sends++
		t.remote[zone] = r
		list = append(list, r.at(now))
	}
	return list
}

// sendAggregates sends this availability zone's aggregate to one VM of each other one, when this VM is a speaker.
func (t *Tracker) sendAggregates(now time.Time) []Effect {
	if now.Before(t.nextSpeech) {
		return nil
	}
	t.nextSpeech = now.Add(t.config.AggregateInterval)
	live := t.liveMembers()
	if !t.isSpeaker(live) {
		return nil
	}
	aggregate := Aggregate{Zone: t.zone, Live: len(live), Members: t.sample(live), Loads: t.loads}
	var effects []Effect
	targets := t.targets()
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

func (t *Tracker) isSpeaker(live []string) bool {
	speakers := live[:min(len(live), speakerCount)]
	return slices.Contains(speakers, t.self.Name)
}

func (t *Tracker) sample(live []string) []string {
	sampled := slices.Clone(live)
	t.config.Rand.Shuffle(len(sampled), func(i, j int) { sampled[i], sampled[j] = sampled[j], sampled[i] })
	return sampled[:min(len(sampled), aggregateMembers)]
}

// targets returns the VMs of each other availability zone: those of its newest aggregate, or all when none is known.
func (t *Tracker) targets() map[string][]string {
	targets := map[string][]string{}
	for _, name := range slices.Sorted(maps.Keys(t.roster)) {
		zone := t.roster[name]
		if zone != t.zone {
			targets[zone] = append(targets[zone], name)
		}
	}
	for zone, known := range t.remote {
		if _, ok := targets[zone]; !ok || len(known.aggregate.Members) == 0 {
			continue
		}
		targets[zone] = known.aggregate.Members
	}
	return targets
}
