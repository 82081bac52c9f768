package lessee

import (
	"time"

	"sequoiaspread.example/sequoia/lessor"
)

const (
	// assumedFleet is the size of the fleet until a leader states it, unless a larger one is known.
	assumedFleet = 100
	// fleetMemory is for how long a VM remembers the sizes of the fleet. The fixed parts follow the largest of them, since
	// VMs that are cut off still use those of the size that they know.
	fleetMemory = 10 * time.Minute
	// movingHold is the longest time that a request waits for units while a share may still be on its way: the leader has to
	// be asked for it, and other VMs to confirm that they hold less.
	movingHold = 3 * time.Second
	// shortHold is that while the demand of the organisation exceeds its limit, where a longer one would only delay the
	// refusals.
	shortHold = 500 * time.Millisecond
	// grantTime is the time to the reply of a leader that the VM has asked for a share.
	grantTime = 500 * time.Millisecond
	// maxRetryAfter limits the delay of a caller whose request does not fit.
	maxRetryAfter = time.Minute
)

// Lessee holds the buckets of all organisations at one VM.
type Lessee struct {
	startedAt time.Time
	limits    map[string]Limit
	accounts  map[string]*account
	// term and sequence are those of the last grant that was applied.
	term, sequence uint64
	leaseUntil     time.Time
	// contactAt is when the report was sent that the leader replied to last.
	contactAt time.Time
	fleet     fleetSizes
	// reportedAt is when the last report was made, earlyAt when the last early one was, and reported the number of
	// organisations in the last one.
	reportedAt, earlyAt time.Time
	reported            int
	// urgent is set while an early report would bring a larger share here, or release one for other VMs.
	urgent bool
	// releasing is set until the loss of a share is confirmed by a report.
	releasing bool
	leases    leaseState
}

// New returns the lessee of a VM that started at a time.
func New(now time.Time) *Lessee {
	return &Lessee{startedAt: now, accounts: map[string]*account{}, fleet: fleetSizes{known: assumedFleet}}
}

// SetLimits replaces the limits of all organisations. The map must not change any more.
func (l *Lessee) SetLimits(now time.Time, limits map[string]Limit) {
	l.limits = limits
	for name, a := range l.accounts {
		a.advance(now)
		if limit, ok := limits[name]; ok {
			a.limit = limit
			l.resize(a)
		}
	}
}

// SetFleetSize sets the size of the fleet that is used until a leader states it.
func (l *Lessee) SetFleetSize(size int) {
	l.fleet.known = max(assumedFleet, size)
}

// Ticket identifies units that were taken.
type Ticket struct {
	account *account
	// overflow is that of the bucket when the units were taken.
	units, overflow float64
	// fresh is set if they were the first.
	fresh bool
}

// Admission is the answer to a request.
type Admission struct {
	Admitted bool
	Ticket   Ticket
	// Hold is how long the request may wait for units, which are likely to come by then; 0 if it should be refused at once.
	Hold time.Duration
	// Pause is when a request that waits should be tried again, without regard to those ahead of it.
	Pause time.Duration
	// RetryAfter is when the limit will have room for the request.
	RetryAfter time.Duration
}

// Take takes the units of a new request.
func (l *Lessee) Take(now time.Time, organisation string, units float64) Admission {
	a := l.account(now, organisation)
	if a == nil {
		return Admission{Admitted: true}
	}
	if a.limit.allows(units) {
		a.demand.add(now, min(units, a.limit.maxDemand()))
	}
	return l.admit(now, a, units, a.held)
}

// TakeHeld takes the units of a request that waits.
func (l *Lessee) TakeHeld(now time.Time, organisation string, units float64) Admission {
	a := l.account(now, organisation)
	if a == nil {
		return Admission{Admitted: true}
	}
	return l.admit(now, a, units, 0)
}

// admit decides about a request. ahead are the units of the requests that wait.
func (l *Lessee) admit(now time.Time, a *account, units, ahead float64) Admission {
	// Holding a request that no share makes possible would only delay those behind it.
	if !a.limit.allows(units) {
		return Admission{RetryAfter: maxRetryAfter}
	}
	// A request does not overtake those that wait, unless there is enough for all.
	fresh := a.fresh
	if (ahead == 0 || a.level >= units+ahead) && a.take(units) {
		return Admission{Admitted: true, Ticket: Ticket{account: a, units: units, overflow: a.overflow, fresh: fresh}}
	}
	if a.lackedAt.IsZero() {
		a.lackedAt = now
	}
	// A leader that knows the demand already need not be asked again before the next heartbeat.
	l.urgent = l.urgent || float64(a.wanted(now)) > urgentGrowth*float64(a.reported)
	wait, possible := a.wait(units + ahead)
	admission := Admission{RetryAfter: l.retryAfter(now, a, units, wait, possible)}
	ownWait, ownPossible := a.wait(units)
	admission.Pause = l.retryAfter(now, a, units, ownWait, ownPossible)
	hold := movingHold
	if a.scarce {
		hold = shortHold
	}
	if possible && wait <= hold || l.awaitsGrant(now, a) {
		admission.Hold = hold
	}
	return admission
}

// awaitsGrant reports whether a leader that this VM reaches has not yet decided on the demand that lacks units.
func (l *Lessee) awaitsGrant(now time.Time, a *account) bool {
	return now.Sub(l.contactAt) < lessor.LeaseTime && !a.lackedAt.IsZero() && !a.decidedAt.After(a.lackedAt)
}

func (l *Lessee) retryAfter(now time.Time, a *account, units float64, wait time.Duration, possible bool) time.Duration {
	// With a share, or where the VM alone can serve the request soon, its own bucket tells when. Otherwise the request
	// depends on a share.
	if possible && (wait <= 2*time.Second || a.share > 0 || now.Sub(l.contactAt) >= lessor.LeaseTime) {
		return min(wait+time.Millisecond, maxRetryAfter)
	}
	seconds := max(0, units-a.level) / a.limit.Rate
	return min(grantTime+time.Duration(min(seconds, maxRetryAfter.Seconds())*float64(time.Second)), maxRetryAfter)
}

// Return gives back the units of a request that was refused as not run.
func (l *Lessee) Return(now time.Time, organisation string, ticket Ticket) {
	// An account is only forgotten once its bucket is full, so that it would have lost the units anyway.
	if a, ok := l.accounts[organisation]; ok && a == ticket.account {
		a.advance(now)
		a.restore(ticket.units, ticket.overflow)
		a.fresh = a.fresh || ticket.fresh
	}
}

// Hold counts the units of a request that begins to wait, and Release those of one that ends it.
func (l *Lessee) Hold(organisation string, units float64) {
	if a, ok := l.accounts[organisation]; ok {
		a.held += units
	}
}

// Release is the counterpart of Hold.
func (l *Lessee) Release(organisation string, units float64) {
	if a, ok := l.accounts[organisation]; ok {
		a.held = max(0, a.held-units)
	}
}

// account returns the account of an organisation, or nil if it has no limit.
func (l *Lessee) account(now time.Time, organisation string) *account {
	limit, ok := l.limits[organisation]
	if !ok || limit.Rate <= 0 {
		return nil
	}
	a, ok := l.accounts[organisation]
	if !ok {
		// The bucket has filled since the start of the VM.
		a = &account{limit: limit, bucket: bucket{filledAt: l.startedAt, fresh: true}}
		l.resize(a)
		l.accounts[organisation] = a
	}
	a.advance(now)
	return a
}

// resize sets the size of a bucket by its limit, its share and the fleet.
func (l *Lessee) resize(a *account) {
	fleet := l.fleet.largest()
	a.fixed = a.limit.sizeOf(fleet, 0)
	a.resize(a.limit.sizeOf(fleet, a.share))
}
