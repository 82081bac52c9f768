package recorder

import (
	"cmp"
	"time"
)

// Config holds the settings of a member. Durations and limits that are zero take the defaults.
type Config struct {
	MemberID         string // <vm>#<suffix>; a member that lost its disk gets a new id
	Initial          bool   // the member was created with the first view of its availability zone
	Zone             string
	Restored         State
	PermitLifetime   time.Duration
	Retention        time.Duration
	SessionLifetime  time.Duration
	MaxRecords       int
	MaxResponseBytes int // total size of the recorded response bodies
	MaxSessions      int
	MaxOpaqueKeys    int // keys without a timestamp, which are never forgotten
}

// Defaults of Config.
const (
	// DefaultPermitLifetime exceeds the longest call of a plain service (5 s) including its retries and its Finish.
	DefaultPermitLifetime  = time.Minute
	DefaultRetention       = 7 * 24 * time.Hour
	DefaultSessionLifetime = 24 * time.Hour
	// DefaultMaxRecords and the other limits keep the table within the 64 MB memory limit of a control process.
	DefaultMaxRecords       = 50_000
	DefaultMaxResponseBytes = 8 << 20
	DefaultMaxSessions      = 10_000
	DefaultMaxOpaqueKeys    = 50_000
)

const (
	// maxRecordedBodyBytes is the largest response body that is recorded; a larger one is recorded as omitted.
	maxRecordedBodyBytes = 64 << 10
	// maxClockSkew is the largest difference between the clocks of two VMs that the system tolerates.
	maxClockSkew = time.Minute
	// sessionWindow is how many of the latest key numbers of a session are accepted in any order.
	sessionWindow = 64
	// heartbeatInterval is a fifth of heartbeatTimeout, so that four consecutive lost messages are not taken for a
	// failure.
	heartbeatInterval  = 400 * time.Millisecond
	retransmitInterval = 400 * time.Millisecond
	// heartbeatTimeout is longer than a synced write on a disk that stalls for a second.
	heartbeatTimeout = 2 * time.Second
	// takeoverTimeout exceeds heartbeatTimeout so that the primary is the first to propose the next view.
	takeoverTimeout = 2 * heartbeatTimeout
	proposeInterval = time.Second
	joinInterval    = 500 * time.Millisecond
	// replyTimeout is longer than heartbeatTimeout, so that a call survives the removal of one failed member from the
	// view.
	replyTimeout = 3 * time.Second
	// gapResendInterval limits the resends that reordered messages cause.
	gapResendInterval = 50 * time.Millisecond
	// maxJoinLag is the number of entries that a joiner may lack when permits start to wait for it.
	maxJoinLag = 64
	// maxInFlightEntries is the number of unacknowledged entries that may be in flight to one member.
	maxInFlightEntries = 1024
	// watermarkInterval and maxWatermarkStep let the low watermark follow the clock at up to twice its rate, so that a
	// clock that jumps ahead does not drop the records of several days at once.
	watermarkInterval = time.Minute
	maxWatermarkStep  = 2 * time.Minute
)

// Recorder is one member of the record group of an availability zone.
type Recorder struct {
	config            Config
	meta              Meta
	table             *table
	peers             map[string]*peer
	pendingReplies    []pendingReply
	round             uint64
	confirmRequested  bool
	joinerRequiredSeq uint64
	noViewAgreed      bool
	started           bool
	shuttingDown      bool
	lastTick          time.Time
	lastHeard         time.Time
	lastJoin          time.Time
	lastPropose       time.Time
	lastWatermark     time.Time
	retired           map[string]bool
	outbox            outbox
}

// New returns a member that continues from config.Restored.
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
		peers:   map[string]*peer{},
		retired: map[string]bool{},
	}
	r.config.Restored = State{}
	r.joinerRequiredSeq = r.meta.Applied
	return r
}

// Step handles one message and returns the effects to perform.
func (r *Recorder) Step(now time.Time, message Message) []Effect {
	r.initTimers(now)
	switch m := message.(type) {
	case Call:
		r.handleCall(now, m)
	case Install:
		r.installView(now, m.View)
	case Retire:
		r.handleRetire(m.Members)
	case Shutdown:
		r.shuttingDown = true
		r.handOver(now)
	case Replicate:
		r.handleReplicate(now, m)
	case Ack:
		r.handleAck(now, m)
	case Join:
		r.handleJoin(now, m)
	case Depart:
		r.handleDepart(now, m)
	}
	return r.finishStep(now)
}

// Tick performs the timed work that is due and returns the effects to perform. It must be called several times a
// second.
func (r *Recorder) Tick(now time.Time) []Effect {
	r.initTimers(now)
	r.resetHeartbeatsAfterPause(now)
	r.lastTick = now
	if r.shuttingDown {
		r.handOver(now)
		return r.finishStep(now)
	}
	switch {
	case r.isPrimary():
		r.advanceWatermark(now)
		r.expirePendingReplies(now)
		r.removeFailed(now)
	case r.meta.View.Has(r.config.MemberID) && r.meta.Complete:
		r.takeOver(now)
	default:
		r.requestJoin(now)
	}
	return r.finishStep(now)
}

// View returns the view that the member has installed.
func (r *Recorder) View() View {
	return r.meta.View
}

// IsPrimary reports whether the member is the primary of its availability zone, as far as it knows.
func (r *Recorder) IsPrimary() bool {
	return r.isPrimary()
}

// Size returns the numbers of records, open sessions and opaque keys.
func (r *Recorder) Size() (records, sessions, opaqueKeys int) {
	return r.table.records, r.table.sessions, r.table.opaqueKeys
}

func (r *Recorder) isPrimary() bool {
	return r.meta.View.Primary == r.config.MemberID && r.meta.Complete
}

func (r *Recorder) initTimers(now time.Time) {
	if r.started {
		return
	}
	r.started = true
	r.lastTick = now
	r.lastHeard = now
	r.resetPeers(now)
}

// resetHeartbeatsAfterPause restarts the heartbeat timeouts of the other members when this process itself was paused,
// because it could not receive their messages.
func (r *Recorder) resetHeartbeatsAfterPause(now time.Time) {
	pause := now.Sub(r.lastTick)
	if pause >= 0 && pause < heartbeatTimeout/2 {
		return
	}
	r.lastHeard = now
	for _, p := range r.peers {
		p.lastHeard = now
		p.sentAt = now
	}
}

func (r *Recorder) finishStep(now time.Time) []Effect {
	if r.isPrimary() {
		r.replicateToPeers(now)
		r.sendReadyReplies()
	}
	return r.outbox.take(r.meta)
}

// appendEntry assigns the next sequence number to an entry and stores it.
func (r *Recorder) appendEntry(entry Entry) uint64 {
	r.meta.Applied++
	entry.Seq = r.meta.Applied
	r.storeEntry(entry)
	return entry.Seq
}

func (r *Recorder) storeEntry(entry Entry) {
	r.table.put(entry)
	r.outbox.persist.Entries = append(r.outbox.persist.Entries, entry)
	r.outbox.dirty = true
}

func (r *Recorder) removeEntry(id string) {
	r.table.remove(id)
	r.outbox.persist.Removed = append(r.outbox.persist.Removed, id)
	r.outbox.dirty = true
}

func (r *Recorder) persistMeta() {
	r.outbox.dirty = true
}
