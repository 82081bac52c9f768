package lessee

import (
	"cmp"
	"slices"
	"time"

	"sequoiaspread.example/sequoia/lessor"
)

const (
	// earlyInterval is the shortest time between a report and an early one. earlyTimePerOrganisation is that between early
	// ones by the length of the report, which bounds the bytes per second.
	earlyInterval            = 200 * time.Millisecond
	earlyTimePerOrganisation = 20 * time.Millisecond
	// urgentRelease is the loss of a share from which it is confirmed early, so that other VMs get it.
	urgentRelease = lessor.Scale / 20
	// urgentShare is the share from which a demand that has fallen to less than half is reported early.
	urgentShare = lessor.Scale / 100
	// urgentGrowth is the growth of a demand from which it is reported early.
	urgentGrowth = 1.25
)

// Report returns the report to send to a leader now, or nil if this VM has no demand and no share.
func (l *Lessee) Report(now time.Time) *lessor.Report {
	type entry struct {
		name  string
		units int64
	}
	var entries []entry
	for name, a := range l.accounts {
		a.advance(now)
		a.reported = 0
		if a.idle(now) {
			delete(l.accounts, name)
			continue
		}
		if _, ok := l.limits[name]; !ok {
			continue
		}
		if units := a.wanted(now); units > 0 {
			entries = append(entries, entry{name, units})
		}
	}
	releasing := l.releasing
	l.urgent, l.releasing = false, false
	l.leases.wanted = len(entries) > 0
	l.reportedAt, l.reported = now, min(len(entries), lessor.MaxOrganisations)
	if len(entries) == 0 && !releasing && !now.Before(l.leaseUntil) {
		return nil
	}
	slices.SortFunc(entries, func(a, b entry) int { return cmp.Or(cmp.Compare(b.units, a.units), cmp.Compare(a.name, b.name)) })
	report := &lessor.Report{Term: l.term, Sequence: l.sequence}
	for i, e := range entries[:l.reported] {
		report.Organisations = append(report.Organisations, e.name)
		report.Demands = append(report.Demands, e.units)
		a := l.accounts[e.name]
		a.reported = e.units
		if a.held > 0 && report.Backlogs == nil {
			report.Backlogs = make([]int64, l.reported)
		}
		if a.held > 0 {
			report.Backlogs[i] = reportable(a.held)
		}
	}
	return report
}

// EarlyReportIn returns when a report should be sent before the next heartbeat, or false if none should.
func (l *Lessee) EarlyReportIn(now time.Time) (time.Duration, bool) {
	if !l.urgent && !l.hasIdleShare(now) {
		return 0, false
	}
	wait := l.reportedAt.Add(earlyInterval).Sub(now)
	return max(0, wait, l.earlyAt.Add(time.Duration(l.reported)*earlyTimePerOrganisation).Sub(now)), true
}

// EarlyReport returns the report to send between two heartbeats.
func (l *Lessee) EarlyReport(now time.Time) *lessor.Report {
	l.earlyAt = now
	return l.Report(now)
}

// hasIdleShare reports whether the demand behind a share has fallen by so much that other VMs may need it.
func (l *Lessee) hasIdleShare(now time.Time) bool {
	for _, a := range l.accounts {
		if a.share > urgentShare && now.Before(a.leasedUntil) && a.wanted(now) < a.reported/2 {
			return true
		}
	}
	return false
}

// Apply applies the reply to a report, which was sent at a time and may be nil. Grants that come after newer ones change
// nothing.
func (l *Lessee) Apply(now, sentAt time.Time, report *lessor.Report, grant lessor.Grant) {
	if grant.Term < l.term || grant.Term == l.term && grant.Sequence != 0 && grant.Sequence <= l.sequence {
		return
	}
	if grant.Term > l.term {
		l.term, l.sequence = grant.Term, 0
	}
	if sentAt.After(l.contactAt) {
		l.contactAt = sentAt
	}
	l.advanceAll(now)
	l.fleet.record(now, grant.Fleet)
	if report != nil && grant.Sequence != 0 {
		l.applyShares(now, sentAt, report, grant)
	}
	for _, a := range l.accounts {
		l.resize(a)
	}
}

func (l *Lessee) applyShares(now, sentAt time.Time, report *lessor.Report, grant lessor.Grant) {
	l.sequence = grant.Sequence
	l.leaseUntil = sentAt
	if len(report.Organisations) > 0 {
		l.leaseUntil = sentAt.Add(lessor.LeaseTime)
	}
	shares, scarce := map[string]int64{}, map[string]bool{}
	for i, name := range report.Organisations[:min(len(report.Organisations), len(grant.Shares))] {
		shares[name] = grant.Shares[i]
		scarce[name] = slices.Contains(grant.Scarce, i)
	}
	held := now.Before(l.leaseUntil)
	l.leases.held = l.leases.held || held
	for name, a := range l.accounts {
		next := shares[name]
		if !held {
			next = 0
		}
		if a.share-next > urgentRelease {
			l.urgent, l.releasing = true, true
		}
		a.share, a.leasedUntil, a.decidedAt, a.scarce = next, l.leaseUntil, sentAt, scarce[name]
		if sentAt.After(a.lackedAt) {
			a.lackedAt = time.Time{}
		}
	}
}

func (l *Lessee) advanceAll(now time.Time) {
	for _, a := range l.accounts {
		a.advance(now)
	}
}

// leaseState is what is known about the leases of all organisations, for the log.
type leaseState struct {
	wanted, held, lost bool
}

// LeaseChange is a change that is worth a log line.
type LeaseChange string

// Changes of the lease.
const (
	LeaseUnchanged LeaseChange = ""
	LeaseLost      LeaseChange = "lost"
	LeaseRegained  LeaseChange = "regained"
)

// LeaseChange returns what has changed since the last call: the lease of a VM with demand has ended without another, or
// there is one again.
func (l *Lessee) LeaseChange(now time.Time) LeaseChange {
	inForce := now.Before(l.leaseUntil)
	switch {
	case l.leases.held && !inForce:
		l.leases.held = false
		if l.leases.wanted && !l.leases.lost {
			l.leases.lost = true
			return LeaseLost
		}
	case l.leases.held && l.leases.lost:
		l.leases.lost = false
		return LeaseRegained
	}
	return LeaseUnchanged
}

// Share returns the share of the leased part of an organisation that is in force, from 0 to 1.
func (l *Lessee) Share(now time.Time, organisation string) float64 {
	a, ok := l.accounts[organisation]
	if !ok || !now.Before(a.leasedUntil) {
		return 0
	}
	return float64(a.share) / lessor.Scale
}

// fleetSizes remembers the largest sizes of the fleet that leaders stated.
type fleetSizes struct {
	// known is used until a leader states a size.
	known int
	sizes []fleetSize
}

type fleetSize struct {
	size int
	at   time.Time
}

// record adds a size that a leader stated. Older ones that are not larger, and those too old to count, are dropped.
func (f *fleetSizes) record(now time.Time, size int) {
	if size <= 0 {
		return
	}
	f.sizes = slices.DeleteFunc(f.sizes, func(s fleetSize) bool { return s.size <= size || now.Sub(s.at) > fleetMemory })
	f.sizes = append(f.sizes, fleetSize{size, now})
}

// largest returns the largest size that counts; the sizes are in descending order.
func (f *fleetSizes) largest() int {
	if len(f.sizes) == 0 {
		return f.known
	}
	return f.sizes[0].size
}
