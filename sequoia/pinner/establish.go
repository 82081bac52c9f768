package pinner

import "time"

// ConfirmationValidity is how long a VM may rely on the versions that the coordinators confirmed to it, from when it
// asked. It covers two heartbeats. A version begins streams once it has been known to a majority for as long, so that all
// confirmations without it have run out.
const ConfirmationValidity = 1600 * time.Millisecond

// Keep records that the disk of this process holds versions of services, which a restart does not make it forget.
func (t *Table) Keep(now time.Time, versions map[string][]string) {
	for service, list := range versions {
		for _, version := range list {
			known, ok := t.seen[service][version]
			if ok && known.keptSince.IsZero() {
				known.keptSince = now
				t.seen[service][version] = known
			}
		}
	}
}

// Established returns the versions of services that have been kept for ConfirmationValidity.
func (t *Table) Established(now time.Time) map[string][]string {
	established := map[string][]string{}
	for service, versions := range t.AllVersions(now) {
		for _, version := range versions {
			if _, isPending := t.seen[service][version].pendingFor(now); !isPending {
				established[service] = append(established[service], version)
			}
		}
	}
	return established
}

// Restore takes over versions from the disk that were established before a restart: this process has confirmed nothing
// without them since.
func (t *Table) Restore(now time.Time, established map[string][]string) {
	for service, versions := range established {
		for _, version := range versions {
			t.See(now, service, version)
			t.seen[service][version] = sighting{last: now, keptSince: now.Add(-ConfirmationValidity)}
		}
	}
}

// Pending returns the versions of services that have not been kept for ConfirmationValidity, each with the time until
// they have, or 0 while they are not kept.
func (t *Table) Pending(now time.Time) map[string]map[string]time.Duration {
	var pending map[string]map[string]time.Duration
	for service, versions := range t.AllVersions(now) {
		for _, version := range versions {
			wait, isPending := t.seen[service][version].pendingFor(now)
			if !isPending {
				continue
			}
			if pending == nil {
				pending = map[string]map[string]time.Duration{}
			}
			if pending[service] == nil {
				pending[service] = map[string]time.Duration{}
			}
			pending[service][version] = wait
		}
	}
	return pending
}

func (s sighting) pendingFor(now time.Time) (time.Duration, bool) {
	if s.keptSince.IsZero() {
		return 0, true
	}
	wait := s.keptSince.Add(ConfirmationValidity).Sub(now)
	return wait, wait > 0
}
