package lessee

import (
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiaspread.example/sequoia/lessor"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	scheduleStep         = 20 * time.Millisecond
	scheduleLength       = 30 * time.Second
	scheduleWarmUp       = 9 * time.Second
	scheduleBeat         = 800 * time.Millisecond
	scheduleTimeout      = 1500 * time.Millisecond
	scheduleCoordinators = 3
	// slackTokens and slackPart are what an organisation may exceed its limit by in a window.
	slackTokens, slackPart = 110_000, 1.1
)

// Guards against an organisation that gets more than its limit in any 8 s because a share is in force twice, whatever is
// delayed, lost, cut off, paused or restarted and wherever its demand moves, and against one below its limit that loses
// requests although nothing is disturbed.
func TestLimitHoldsInEverySchedule(t *testing.T) {
	schedules := 60
	if text := os.Getenv("SEQUOIA_SCHEDULES"); text != "" {
		var err error
		schedules, err = strconv.Atoi(text)
		assert.NilError(t, err)
	}
	var offered, lost, worstLoss, fullest float64
	for seed := range schedules {
		s := newSchedule(seed)
		s.run()
		part := s.fullestWindow()
		fullest = max(fullest, part)
		assert.Assert(t, part <= 1, "seed %d: a window holds %.3f of what it may", seed, part)
		assert.Assert(t, s.shared < 1.000001, "seed %d: shares of %.3f are in force at a time", seed, s.shared)
		if s.undisturbed {
			offered, lost, worstLoss = offered+s.offered, lost+s.lost, max(worstLoss, s.lost/s.offered)
		}
	}
	t.Logf("fullest window %.3f of the bound; lost %.5f of the undisturbed demand, at worst %.5f", fullest, lost/offered, worstLoss)
	assert.Assert(t, lost <= 0.005*offered, "lost %.5f", lost/offered)
	assert.Assert(t, worstLoss <= 0.05, "lost %.5f", worstLoss)
}

type schedule struct {
	random       *rand.Rand
	now          time.Time
	limit        Limit
	undisturbed  bool
	load         float64
	coordinators []*simCoordinator
	term         uint64
	vms          []*simVM
	weights      []float64
	movesAt      time.Time
	lowersAt     time.Time
	// firstLimit is that before it is lowered, and loweredFrom the step from which all VMs have the lower one.
	firstLimit  Limit
	loweredFrom int
	due         []simEvent
	// ran holds what was sent and run in each step.
	ran           []float64
	offered, lost float64
	// shared is the largest part of the leased part that was in force at a time.
	shared float64
}

type simEvent struct {
	at  time.Time
	run func()
}

type simCoordinator struct {
	lessor                     *lessor.Lessor
	term                       uint64
	contactAt                  time.Time
	pausedUntil, isolatedUntil time.Time
}

type simVM struct {
	name        string
	lessee      *Lessee
	limits      map[string]Limit
	pausedUntil time.Time
	cutUntil    [scheduleCoordinators]time.Time
	leads       [scheduleCoordinators]bool
	beatAt      time.Time
	held        []simRequest
}

type simRequest struct {
	units float64
	until time.Time
}

func newSchedule(seed int) *schedule {
	s := &schedule{random: rand.New(rand.NewPCG(uint64(seed), 0)), now: start, undisturbed: seed%3 == 0}
	s.limit = Limit{Rate: []float64{2_238_608, 400_000, 40_000}[seed/3%3], CountsTokens: true}
	s.limit.Burst = s.limit.Rate * []float64{0, 1, 3}[s.random.IntN(3)]
	s.firstLimit, s.load = s.limit, 0.65
	if !s.undisturbed {
		s.load = 0.5 + 3*s.random.Float64()
		s.lowersAt = start.Add(s.duration(2 * scheduleLength))
	}
	for range scheduleCoordinators {
		s.coordinators = append(s.coordinators, &simCoordinator{lessor: lessor.New()})
	}
	s.elect(0)
	for i := range []int{6, 12, 40}[s.random.IntN(3)] {
		vm := &simVM{name: "vm" + strconv.Itoa(i), beatAt: start.Add(s.duration(scheduleBeat))}
		vm.restart(s)
		s.vms = append(s.vms, vm)
	}
	return s
}

func (vm *simVM) restart(s *schedule) {
	vm.lessee, vm.held, vm.leads = New(s.now), nil, [scheduleCoordinators]bool{}
	vm.limits = map[string]Limit{"o": s.limit}
	vm.lessee.SetLimits(s.now, vm.limits)
}

func (s *schedule) duration(limit time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(limit)))
}

// delay is that of a message: mostly short, at times as long as a call may last.
func (s *schedule) delay() time.Duration {
	if !s.undisturbed && s.random.IntN(8) == 0 {
		return s.duration(scheduleTimeout)
	}
	return s.duration(60 * time.Millisecond)
}

func (s *schedule) later(after time.Duration, run func()) {
	s.due = append(s.due, simEvent{s.now.Add(after), run})
}

func (s *schedule) run() {
	for ; s.now.Before(start.Add(scheduleLength)); s.now = s.now.Add(scheduleStep) {
		s.ran = append(s.ran, 0)
		var due []simEvent
		s.due = slices.DeleteFunc(s.due, func(e simEvent) bool {
			if e.at.After(s.now) {
				return false
			}
			due = append(due, e)
			return true
		})
		for _, e := range due {
			e.run()
		}
		if !s.undisturbed && s.random.IntN(40) == 0 {
			s.disturb()
		}
		s.lead()
		for _, vm := range s.vms {
			if !s.now.Before(vm.pausedUntil) {
				vm.beat(s)
			}
		}
		s.offer()
		s.shared = max(s.shared, s.sharesInForce())
		if s.limit != s.firstLimit && s.loweredFrom == 0 && !slices.ContainsFunc(s.vms, func(vm *simVM) bool { return vm.limits["o"] != s.limit }) {
			s.loweredFrom = len(s.ran)
		}
	}
}

func (s *schedule) sharesInForce() float64 {
	sum := 0.0
	for _, vm := range s.vms {
		sum += vm.lessee.Share(s.now, "o")
	}
	return sum
}

// elect makes a coordinator the leader; the others learn of it when they are in contact.
func (s *schedule) elect(index int) {
	s.term++
	c := s.coordinators[index]
	c.term, c.contactAt = s.term, s.now
	c.lessor.Lead(s.now, s.term)
}

// lead keeps the leader in contact, and ends the leadership of those that learn of a newer one.
func (s *schedule) lead() {
	for _, c := range s.coordinators {
		if s.now.Before(c.pausedUntil) || s.now.Before(c.isolatedUntil) {
			continue
		}
		if c.term == s.term {
			c.contactAt = s.now
		} else {
			c.term = 0
		}
	}
}

// disturb pauses, restarts or cuts off a VM or a coordinator. The leader may be followed by another at once.
func (s *schedule) disturb() {
	vm, index := s.vms[s.random.IntN(len(s.vms))], s.random.IntN(scheduleCoordinators)
	c := s.coordinators[index]
	until := s.now.Add(s.duration(6 * time.Second))
	leads := c.term == s.term
	switch s.random.IntN(6) {
	case 0:
		vm.pausedUntil = until
	case 1:
		vm.restart(s)
	case 2:
		for _, vm := range s.vms {
			if s.random.IntN(2) == 0 {
				vm.cutUntil[index] = until
			}
		}
	case 3:
		c.pausedUntil = until
	case 4:
		c.isolatedUntil = until
	default:
		c.lessor, c.term = lessor.New(), 0
	}
	if leads && s.random.IntN(2) == 0 {
		s.elect((index + 1) % scheduleCoordinators)
	}
}

// beat sends the heartbeats that are due, and early reports.
func (vm *simVM) beat(s *schedule) {
	if s.limit != vm.limits["o"] && s.random.IntN(20) == 0 {
		vm.limits = map[string]Limit{"o": s.limit}
		vm.lessee.SetLimits(s.now, vm.limits)
	}
	wait, early := vm.lessee.EarlyReportIn(s.now)
	early = early && wait == 0
	due := !s.now.Before(vm.beatAt)
	if due {
		vm.beatAt = s.now.Add(scheduleBeat)
	}
	for index := range scheduleCoordinators {
		if due || early && vm.leads[index] {
			vm.call(s, index, !due)
		}
	}
}

func (vm *simVM) call(s *schedule, index int, early bool) {
	if s.now.Before(vm.cutUntil[index]) || !s.undisturbed && s.random.IntN(15) == 0 {
		return
	}
	var report *lessor.Report
	switch {
	case early:
		report = vm.lessee.EarlyReport(s.now)
	case vm.leads[index]:
		report = vm.lessee.Report(s.now)
	}
	sentAt, lessee := s.now, vm.lessee
	s.later(s.delay(), func() { s.receive(index, vm, report, sentAt, lessee) })
}

// receive handles a report at a coordinator, after its pause.
func (s *schedule) receive(index int, vm *simVM, report *lessor.Report, sentAt time.Time, lessee *Lessee) {
	c := s.coordinators[index]
	if s.now.Before(c.pausedUntil) {
		s.later(c.pausedUntil.Sub(s.now), func() { s.receive(index, vm, report, sentAt, lessee) })
		return
	}
	leads := c.term != 0 && s.now.Sub(c.contactAt) <= lessor.ContactTime
	var grant lessor.Grant
	if leads {
		grant = c.lessor.Grant(s.now, vm.name, report, func(string) float64 { return s.limit.Rate })
		if c.lessor.MayGrant(s.now) {
			grant.Fleet = len(s.vms)
		}
	}
	s.later(s.delay(), func() { vm.apply(s, index, lessee, sentAt, report, grant) })
}

// apply handles a reply, after the pause of the VM.
func (vm *simVM) apply(s *schedule, index int, lessee *Lessee, sentAt time.Time, report *lessor.Report, grant lessor.Grant) {
	switch {
	case lessee != vm.lessee:
	case s.now.Before(vm.pausedUntil):
		s.later(vm.pausedUntil.Sub(s.now), func() { vm.apply(s, index, lessee, sentAt, report, grant) })
	case grant.Term == 0:
		vm.leads[index] = false
	default:
		vm.leads[index] = true
		vm.lessee.Apply(s.now, sentAt, report, grant)
	}
}

// offer makes the requests of one step, at VMs that change every few seconds.
func (s *schedule) offer() {
	if !s.lowersAt.IsZero() && !s.now.Before(s.lowersAt) {
		s.limit.Rate, s.limit.Burst, s.lowersAt = s.limit.Rate/2, s.limit.Burst/2, time.Time{}
	}
	if !s.now.Before(s.movesAt) {
		s.movesAt = s.now.Add(2*time.Second + s.duration(4*time.Second))
		s.move()
	}
	for i, vm := range s.vms {
		if s.now.Before(vm.pausedUntil) {
			continue
		}
		vm.retryHeld(s)
		for units := s.load * s.limit.Rate * s.weights[i] * scheduleStep.Seconds(); units > 0; {
			size := 800 + s.random.Float64()*8400
			if s.random.Float64() < units/size {
				vm.request(s, size)
			}
			units -= size
		}
	}
}

// move gives the demand to all VMs or to those of one zone.
func (s *schedule) move() {
	zone, sum := s.random.IntN(4), 0.0
	s.weights = make([]float64, len(s.vms))
	for i := range s.weights {
		if zone == 3 || i%3 == zone {
			s.weights[i] = 0.2 + s.random.Float64()
			sum += s.weights[i]
		}
	}
	for i := range s.weights {
		s.weights[i] /= sum
	}
}

func (vm *simVM) request(s *schedule, units float64) {
	measured := s.now.Sub(start) > scheduleWarmUp
	if measured {
		s.offered += units
	}
	admission := vm.lessee.Take(s.now, "o", units)
	switch {
	case admission.Admitted:
		vm.admit(s, units, admission.Ticket)
	case admission.Hold > 0:
		vm.lessee.Hold("o", units)
		vm.held = append(vm.held, simRequest{units, s.now.Add(admission.Hold)})
	case measured:
		s.lost += units
	}
}

// retryHeld ends the requests that have waited for too long, and takes units for the others.
func (vm *simVM) retryHeld(s *schedule) {
	vm.held = slices.DeleteFunc(vm.held, func(r simRequest) bool {
		admission := vm.lessee.TakeHeld(s.now, "o", r.units)
		over := s.now.After(r.until)
		if !admission.Admitted && !over {
			return false
		}
		vm.lessee.Release("o", r.units)
		if admission.Admitted {
			vm.admit(s, r.units, admission.Ticket)
		} else if s.now.Sub(start) > scheduleWarmUp {
			s.lost += r.units
		}
		return true
	})
}

// admit counts a request, unless it is refused as not run later.
func (vm *simVM) admit(s *schedule, units float64, ticket Ticket) {
	if s.random.IntN(10) > 0 {
		s.ran[len(s.ran)-1] += units
		return
	}
	s.later(s.duration(2*time.Second), func() { vm.lessee.Return(s.now, "o", ticket) })
}

// bound is what a window may hold.
func (l Limit) bound() float64 {
	burst := l.Burst
	if burst == 0 {
		burst = l.Rate
	}
	return (l.Rate*window.Seconds()+burst)*slackPart + slackTokens
}

// fullestWindow returns the largest part of its bound that any 8 s hold. A lowered limit binds the windows that begin once
// all VMs have it.
func (s *schedule) fullestWindow() float64 {
	length := int(window / scheduleStep)
	fullest, sum := 0.0, 0.0
	for i, units := range s.ran {
		sum += units
		if i >= length {
			sum -= s.ran[i-length]
		}
		bound := s.firstLimit.bound()
		if s.loweredFrom > 0 && i-length+1 >= s.loweredFrom {
			bound = s.limit.bound()
		}
		fullest = max(fullest, sum/bound)
	}
	return fullest
}
