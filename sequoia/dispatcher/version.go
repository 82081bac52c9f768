package dispatcher

import (
	"slices"
	"time"
)

// takeUpMargin is how long before the end of its drain time an upstream is sent no more streams, which are on their way
// for some time. It goes on with those that it has.
const takeUpMargin = 300 * time.Millisecond

// EstablishedVersions holds for each service from when on each of its versions may begin streams.
type EstablishedVersions map[string]map[string]time.Time

// AwaitEstablished keeps resumable streams from beginning at versions that SetEstablished has not named.
func (d *Dispatcher) AwaitEstablished() {
	if d.established == nil {
		d.established = EstablishedVersions{}
	}
}

// SetEstablished replaces the versions that may begin streams.
func (d *Dispatcher) SetEstablished(versions EstablishedVersions) {
	d.established = versions
}

// upstreamsFor returns the upstreams of the service of a request: only those of one version if it is pinned, and only
// those whose version may begin streams if it begins one.
func (d *Dispatcher) upstreamsFor(now time.Time, request Request) []*upstreamState {
	all := d.services[request.Service]
	if !request.Pin.Set && !request.BeginsResumable {
		return all
	}
	var list []*upstreamState
	for _, u := range all {
		if d.mayServe(now, u, request) {
			list = append(list, u)
		}
	}
	return list
}

func (d *Dispatcher) mayServe(now time.Time, u *upstreamState, request Request) bool {
	if request.Pin.Set {
		return u.Version == request.Pin.Version
	}
	if d.established == nil {
		return true
	}
	from, ok := d.established[u.Service][u.Version]
	return ok && !now.Before(from)
}

// establishedIn returns the time until a version of a service may begin streams, or 0 if that is unknown.
func (d *Dispatcher) establishedIn(now time.Time, service string) time.Duration {
	var shortest time.Duration
	for _, u := range d.services[service] {
		from, ok := d.established[service][u.Version]
		if wait := from.Sub(now); ok && wait > 0 && (shortest == 0 || wait < shortest) {
			shortest = wait
		}
	}
	return shortest
}

// SetDrainTime sets how long upstreams go on serving after the list shows that they are leaving.
func (d *Dispatcher) SetDrainTime(drainTime time.Duration) {
	d.drainTime = drainTime
}

// MarkLeavingSince records that the list has shown an upstream as leaving for an age at most.
func (d *Dispatcher) MarkLeavingSince(now time.Time, id string, age time.Duration) {
	if u, ok := d.find(id); ok {
		u.leavingSince = now.Add(-age)
	}
}

// mayTakeUp reports whether an upstream that is leaving may still take up a stream: often no other runs its version.
func (d *Dispatcher) mayTakeUp(now time.Time, u *upstreamState) bool {
	since := u.leavingSince
	if notice, ok := d.leaving[u.ID]; ok && notice.binds(now) && notice.statedAt.Before(since) {
		since = notice.statedAt
	}
	return u.Leaving && !since.IsZero() && now.Sub(since) < d.drainTime-takeUpMargin
}

// usableFor returns the upstreams that may get a request from this VM now. A stream that goes on is taken up by one that
// is leaving if no other may get it.
func (d *Dispatcher) usableFor(now time.Time, request Request, upstreams []*upstreamState, excluded []string) []*upstreamState {
	limits := d.limits[request.Service]
	usable := make([]*upstreamState, 0, len(upstreams))
	var leaving []*upstreamState
	for _, u := range upstreams {
		switch {
		case slices.Contains(excluded, u.ID):
		case d.usable(now, u, limits):
			usable = append(usable, u)
		case request.Pin.Set && d.mayTakeUp(now, u) && d.reachable(now, u) && d.withinLimit(now, u, limits):
			leaving = append(leaving, u)
		}
	}
	if len(usable) == 0 {
		return leaving
	}
	return usable
}

// Versions returns the sorted software versions of each service that the list names.
func (d *Dispatcher) Versions() map[string][]string {
	versions := make(map[string][]string, len(d.services))
	for service, upstreams := range d.services {
		var list []string
		for _, u := range upstreams {
			list = append(list, u.Version)
		}
		slices.Sort(list)
		versions[service] = slices.Compact(list)
	}
	return versions
}
