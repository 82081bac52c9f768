package lessee

import (
	"math"
	"time"

	"sequoiaspread.example/sequoia/lessor"
)

// Limit is the rate limit of an organisation over all entry VMs.
type Limit struct {
	// Rate is in units per second, and Burst in units. Without a Rate there is no limit; without a Burst it is one second
	// of the rate.
	Rate, Burst float64
	// CountsTokens is set if the units are tokens rather than requests.
	CountsTokens bool
}

const (
	// overdraftTime is how long it may take to repay an overdraft, unless the bucket was full.
	overdraftTime = 2 * time.Second
	// An organisation may exceed its limit by a tenth and 110,000 tokens in 8 s. The overdrafts of all VMs together stay
	// below that: fixedOverdraft is the part of what the limit allows in window that all fixed parts may add, and
	// fixedOverdraftTokens what they may add for units of tokens; the others are those of the leased part. What is left
	// covers overdrafts that follow one another as shares move, and growth of the fleet.
	fixedOverdraft        = 0.05
	fixedOverdraftTokens  = 50_000
	leasedOverdraft       = 0.03
	leasedOverdraftTokens = 30_000
	window                = 8 * time.Second
)

// size is the part of a limit that a VM has.
type size struct {
	// rate is in units per second, capacity and overdraft in units.
	rate, capacity, overdraft float64
}

// allows reports whether a VM with the whole limit could ever admit a request.
func (l Limit) allows(units float64) bool {
	whole := l.sizeOf(1, lessor.Scale)
	return units <= whole.capacity+whole.overdraft
}

// maxDemand is what one request may add to the demand.
func (l Limit) maxDemand() float64 {
	burst := l.Burst
	if burst <= 0 {
		burst = l.Rate
	}
	return max(1, burst+l.Rate*demandTime.Seconds())
}

// sizeOf returns the part of a VM in a fleet that holds a share of the leased part.
func (l Limit) sizeOf(fleet int, share int64) size {
	burst := l.Burst
	if burst <= 0 {
		burst = l.Rate
	}
	fixed, leased := 1/float64(max(fleet, 1)), float64(share)/lessor.Scale
	part := (1-lessor.LeasedPart)*fixed + lessor.LeasedPart*leased
	allowed := l.Rate*window.Seconds() + burst
	overdraft := allowed * (fixedOverdraft*fixed + leasedOverdraft*leased)
	if l.CountsTokens {
		return size{part * l.Rate, part * burst, overdraft + fixedOverdraftTokens*fixed + leasedOverdraftTokens*leased}
	}
	return size{part * l.Rate, max(1, part*burst), max(1, overdraft)}
}

// bucket holds the units of one organisation at one VM.
type bucket struct {
	size
	level float64
	// overflow is the sum of the units that the bucket could not hold. Units that are returned are reduced by what has
	// overflowed since they were taken, since the bucket would have lost as much without that request.
	overflow float64
	filledAt time.Time
	// fresh is set until the first request, which may overdraw a bucket that is not full.
	fresh bool
}

// fill adds what has accrued until now.
func (b *bucket) fill(now time.Time) {
	if elapsed := now.Sub(b.filledAt); elapsed > 0 {
		b.level += elapsed.Seconds() * b.rate
		b.filledAt = now
	}
	b.cut()
}

func (b *bucket) resize(next size) {
	b.size = next
	b.cut()
}

func (b *bucket) cut() {
	if b.level > b.capacity {
		b.overflow += b.level - b.capacity
		b.level = b.capacity
	}
}

// full tolerates the rounding of the level.
func (b *bucket) full() bool {
	return b.level >= b.capacity*(1-1e-9)
}

// take takes units if the bucket holds them or may be overdrawn by the rest. A bucket in debt admits nothing.
func (b *bucket) take(units float64) bool {
	debt := units - b.level
	if debt > 0 && !b.mayOverdraw(debt) {
		return false
	}
	b.level -= units
	b.fresh = false
	return true
}

func (b *bucket) mayOverdraw(debt float64) bool {
	if b.level < 0 || debt > b.overdraft {
		return false
	}
	return b.full() || b.fresh || debt <= b.rate*overdraftTime.Seconds()
}

// restore returns units that were taken when the overflow was as given.
func (b *bucket) restore(units, overflow float64) {
	b.level += max(0, units-(b.overflow-overflow))
	b.cut()
}

// wait returns how long it takes until the bucket admits units, or false if it never will at its size.
func (b *bucket) wait(units float64) (time.Duration, bool) {
	needed := max(0, units-min(b.overdraft, b.rate*overdraftTime.Seconds()))
	if needed > b.capacity {
		if units > b.capacity+b.overdraft {
			return 0, false
		}
		needed = b.capacity
	}
	seconds := max(0, needed-b.level) / b.rate
	return time.Duration(min(seconds, math.MaxInt32) * float64(time.Second)), true
}
