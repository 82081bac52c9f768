package pinner

import (
	"net/netip"
	"slices"
	"time"
)

// listedMemory is how long a version that is no longer listed may begin streams once it is listed again. The coordinators
// remember it for longer.
const listedMemory = 15 * time.Second

// Reply is what a coordinator says about versions in reply to a VM that told it those of its region.
type Reply struct {
	// AskedAt is when the VM asked. A pause between that and ReceivedAt does not prolong what the reply confirms.
	AskedAt, ReceivedAt time.Time
	// Complete is set if the coordinator has missed no version that can have begun a stream.
	Complete bool
	// Told are the versions that the coordinator was told, and Pending those of them that may not begin streams yet, with
	// the time until they may, or 0 if that is not known.
	Told    map[string][]string
	Pending map[string]map[string]time.Duration
}

// Confirmations holds what the coordinators confirmed to one VM about versions. What a majority of them confirms holds
// for the whole fleet: any two majorities share a coordinator, so no other VM can have told a majority of a version that
// this one was not told of. A coordinator that forgets, as with a lost disk, confirms nothing until it has watched for
// Memory, and is told anew before that. While most coordinators are out of reach nothing is confirmed, and no new version
// begins a stream; those that could already go on.
type Confirmations struct {
	completeAt map[netip.AddrPort]time.Time
	// knownFrom holds for each coordinator from when on versions may begin streams as far as it goes.
	knownFrom map[netip.AddrPort]map[began]time.Time
	// listedAt is when each version was last listed.
	listedAt map[began]time.Time
}

// NewConfirmations returns confirmations of nothing.
func NewConfirmations() *Confirmations {
	return &Confirmations{
		completeAt: map[netip.AddrPort]time.Time{}, knownFrom: map[netip.AddrPort]map[began]time.Time{}, listedAt: map[began]time.Time{},
	}
}

// List records the versions that are listed, and forgets those that have long not been.
func (c *Confirmations) List(now time.Time, versions map[string][]string) {
	for service, list := range versions {
		for _, version := range list {
			c.listedAt[began{service, version}] = now
		}
	}
	for kind, at := range c.listedAt {
		if now.Sub(at) <= listedMemory {
			continue
		}
		delete(c.listedAt, kind)
		for _, known := range c.knownFrom {
			delete(known, kind)
		}
	}
}

// Record records the reply of a coordinator.
func (c *Confirmations) Record(coordinator netip.AddrPort, reply Reply) {
	if reply.Complete && reply.AskedAt.After(c.completeAt[coordinator]) {
		c.completeAt[coordinator] = reply.AskedAt
	}
	known := c.knownFrom[coordinator]
	if known == nil {
		known = map[began]time.Time{}
		c.knownFrom[coordinator] = known
	}
	for service, list := range reply.Told {
		for _, version := range list {
			kind := began{service, version}
			wait, isPending := reply.Pending[service][version]
			switch {
			case isPending && wait <= 0:
				delete(known, kind)
			case isPending:
				known[kind] = reply.ReceivedAt.Add(wait)
			default:
				known[kind] = reply.ReceivedAt
			}
		}
	}
}

// CompleteUntil returns until when this VM knows of all versions that may begin streams, as far as a majority of the
// coordinators goes.
func (c *Confirmations) CompleteUntil(coordinators []netip.AddrPort) time.Time {
	var times []time.Time
	for _, coordinator := range coordinators {
		if at, ok := c.completeAt[coordinator]; ok {
			times = append(times, at)
		}
	}
	if len(times) < Majority(len(coordinators)) {
		return time.Time{}
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[Majority(len(coordinators))-1].Add(ConfirmationValidity)
}

// Established returns from when on versions of services may begin streams, as far as a majority of the coordinators goes.
// Versions that no majority knows are left out.
func (c *Confirmations) Established(coordinators []netip.AddrPort) map[string]map[string]time.Time {
	established := map[string]map[string]time.Time{}
	for kind := range c.listedAt {
		var times []time.Time
		for _, coordinator := range coordinators {
			if from, ok := c.knownFrom[coordinator][kind]; ok {
				times = append(times, from)
			}
		}
		if len(times) < Majority(len(coordinators)) {
			continue
		}
		slices.SortFunc(times, time.Time.Compare)
		if established[kind.service] == nil {
			established[kind.service] = map[string]time.Time{}
		}
		established[kind.service][kind.version] = times[Majority(len(coordinators))-1]
	}
	return established
}

// Majority returns the smallest number of coordinators of which any two sets share one.
func Majority(coordinators int) int {
	return coordinators/2 + 1
}
