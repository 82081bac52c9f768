package recorder

import (
	"cmp"
	"time"
)

// Config holds the settings of a member; durations and limits that are zero get the defaults.
type Config struct {
	MemberID         string // member id, <vm>#<suffix>; a member that lost its disk has a new one
	Initial          bool   // the member was created together with the first view of its availability zone
	Zone             string
	Restored         State
	PermitLifetime   time.Duration
	Retention        time.Duration
	SessionLifetime  time.Duration
	MaxRecords       int
	MaxResponseBytes int // of all recorded answers together
	MaxSessions      int
	MaxOpaqueKeys    int // keys that carry no time, which are remembered permanently
}

// Defaults of Config.
const (
	// DefaultPermitLifetime is longer than the longest call of a plain service (5 s) with its retries and finish.
	DefaultPermitLifetime  = time.Minute
	DefaultRetention       = 7 * 24 * time.Hour
	DefaultSessionLifetime = 24 * time.Hour
	// DefaultMaxRecords and the other limits keep the table within the 64 MB of memory that a control process may use.
	DefaultMaxRecords       = 50_000
	DefaultMaxResponseBytes = 8 << 20
	DefaultMaxSessions      = 10_000
	DefaultMaxOpaqueKeys    = 50_000
)

const (
	// maxAnswerBytes bounds the part of an answer that is kept; a longer body is recorded as omitted.
	maxAnswerBytes = 64 << 10
	// clockBound is the largest difference between the clocks of two VMs that the system is built for.
	clockBound = time.Minute
	// sessionWindow is the number of recent numbers of a session that are accepted in any order.
	sessionWindow = 64
	// heartbeatInterval is a fifth of silentAfter, so that four lost messages in a row are not taken for a failure.
	heartbeatInterval  = 400 * time.Millisecond
	retransmitInterval = 400 * time.Millisecond
	// silentAfter is longer than a synced write on a disk that stalls for a second.
	silentAfter = 2 * time.Second
	// takeoverAfter gives the primary the first chance to propose the next view.
	takeoverAfter   = 2 * silentAfter
	proposeInterval = time.Second
	joinInterval    = 500 * time.Millisecond
	// waitLimit is longer than silentAfter, so that a call survives the removal of one silent member from the view.
	waitLimit = 3 * time.Second
	// gapInterval keeps reordered messages from causing a resend for each of them.
	gapInterval = 50 * time.Millisecond
	// joinLag is the number of entries that a joiner may lack when permits start to wait for it.
	joinLag = 64
	// copyWindow is the number of entries that may be on their way to one member.
	copyWindow = 1024
	// floorInterval and floorStep let the floor follow the clock at up to twice its rate, so that a clock that jumps
	// ahead does not drop the records of days at once.
	floorInterval = time.Minute
	floorStep     = 2 * time.Minute
)

// Recorder is one member of the record group of an availability zone.
type Recorder struct {
	config      Config
	meta        Meta
	table       *table
	targets     map[string]*target
	waiters     []waiter
	round       uint64
	confirm     bool
	mandatoryAt uint64
	vacant      bool
	started     bool
	leaving     bool
	lastTick    time.Time
	lastHeard   time.Time
	lastJoin    time.Time
	lastPropose time.Time
	lastFloor   time.Time
	retired     map[string]bool
	out         outbox
}

// New returns a member in the state that it had when it stopped.
func New(config Config) *Recorder {
	config.PermitLifetime = cmp.Or(config.PermitLifetime, DefaultPermitLifetime)
	config.Retention = cmp.Or(config.Retention, DefaultRetention)
	config.SessionLifetime = cmp.Or(config.SessionLifetime, DefaultSessionLifetime)
	config.MaxRecords = cmp.Or(config.MaxRecords, DefaultMaxRecords)
	config.MaxResponseBytes = cmp.Or(config.MaxResponseBytes, DefaultMaxResponseBytes)
	config.MaxSessions = cmp.Or(config.MaxSessions, DefaultMaxSessions)
	config.MaxOpaqueKeys = cmp.Or(config.MaxOpaqueKeys, DefaultMaxOpaqueKeys)
	r := &Recorder{
		config:  config,
		meta:    config.Restored.Meta,
		table:   newTable(config.Restored.Entries),
		targets: map[string]*target{},
		retired: map[string]bool{},
	}
	r.config.Restored = State{}
	r.mandatoryAt = r.meta.Applied
	return r
}

// Step handles one message and returns the effects to perform.
func (r *Recorder) Step(now time.Time, message Message) []Effect {
	r.start(now)
	switch m := message.(type) {
	case Call:
		r.call(now, m)
	case Install:
		r.install(now, m.View)
	case Retire:
		r.retire(m.Members)
	case Shutdown:
		r.leaving = true
		r.leave(now)
	case Replicate:
		r.receiveCopy(now, m)
	case Ack:
		r.receiveAck(now, m)
	case Join:
		r.receiveJoin(now, m)
	case Depart:
		r.receiveDepart(now, m)
	}
	return r.finishStep(now)
}

// Tick does what is due at the time; it is called several times a second.
func (r *Recorder) Tick(now time.Time) []Effect {
	r.start(now)
	r.forgivePause(now)
	r.lastTick = now
	if r.leaving {
		r.leave(now)
		return r.finishStep(now)
	}
	switch {
	case r.leads():
		r.advanceFloor(now)
		r.expireWaiters(now)
		r.dropSilent(now)
	case r.meta.View.Has(r.config.MemberID) && r.meta.Complete:
		r.takeOver(now)
	default:
		r.askIn(now)
	}
	return r.finishStep(now)
}

// View returns the view that the member has installed.
func (r *Recorder) View() View {
	return r.meta.View
}

// Leads reports whether the member decides for its availability zone, as far as it knows.
func (r *Recorder) IsPrimary() bool {
	return r.leads()
}

// Size returns the number of records, open sessions and permanently remembered keys.
func (r *Recorder) Size() (records, sessions, permanent int) {
	return r.table.records, r.table.sessions, r.table.permanent
}

func (r *Recorder) leads() bool {
	return r.meta.View.Primary == r.config.MemberID && r.meta.Complete
}

func (r *Recorder) start(now time.Time) {
	if r.started {
		return
	}
	r.started = true
	r.lastTick = now
	r.lastHeard = now
	r.resetTargets(now)
}

// forgivePause restarts the silence of the others when this process itself did not run: it missed their messages.
func (r *Recorder) forgivePause(now time.Time) {
	pause := now.Sub(r.lastTick)
	if pause >= 0 && pause < silentAfter/2 {
		return
	}
	r.lastHeard = now
	for _, t := range r.targets {
		t.heard = now
		t.sentAt = now
	}
}

func (r *Recorder) finishStep(now time.Time) []Effect {
	if r.leads() {
		r.copyToTargets(now)
		r.answerWaiters()
	}
	return r.out.take(r.meta)
}

// write stamps an entry with the next sequence number and keeps it.
func (r *Recorder) write(entry Entry) uint64 {
	r.meta.Applied++
	entry.Seq = r.meta.Applied
	r.keep(entry)
	return entry.Seq
}

func (r *Recorder) keep(entry Entry) {
	r.table.put(entry)
	r.out.persist.Entries = append(r.out.persist.Entries, entry)
	r.out.dirty = true
}

func (r *Recorder) discard(id string) {
	r.table.remove(id)
	r.out.persist.Removed = append(r.out.persist.Removed, id)
	r.out.dirty = true
}

func (r *Recorder) persistMeta() {
	r.out.dirty = true
}
