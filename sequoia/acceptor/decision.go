package acceptor

import (
	"cmp"
	"container/heap"
	"net/netip"
	"slices"
	"time"

	"sequoiaspread.example/sequoia/allotter"
)

const (
	// minTransferRate is the rate in bytes per second at which a body must arrive and a response must be read after
	// transferGrace.
	minTransferRate = 1 << 10
	transferGrace   = 20 * time.Second
	// minReservedLag replaces allotter.MinReclaimLag on the reserved listeners. Requests there are one small packet, and a
	// crowd must not keep out the checks of the operators.
	minReservedLag = 100 * time.Millisecond
)

// Defaults of the limits that a document sets.
const (
	defaultHeaderBytes   = 64 << 10
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 90 * time.Second
)

// Limits are the limits of the document in force; zero selects a default.
type Limits struct {
	HeaderBytes                int
	HeaderTimeout, IdleTimeout time.Duration
}

func (l Limits) withDefaults() Limits {
	return Limits{
		HeaderBytes:   cmp.Or(max(l.HeaderBytes, 0), defaultHeaderBytes),
		HeaderTimeout: cmp.Or(max(l.HeaderTimeout, 0), defaultHeaderTimeout),
		IdleTimeout:   cmp.Or(max(l.IdleTimeout, 0), defaultIdleTimeout),
	}
}

// forClass returns the limits for a class of listeners. Entry VMs add fields to the headers that they forward, and keep
// connections that they have not used for a while.
func (l Limits) forClass(c class) Limits {
	if c != classPeers {
		return l
	}
	return Limits{
		HeaderBytes:   l.HeaderBytes + defaultHeaderBytes,
		HeaderTimeout: max(l.HeaderTimeout, transferGrace), IdleTimeout: max(l.IdleTimeout, transferGrace),
	}
}

// class is what the guard distinguishes listeners by.
type class int

const (
	classGeneral class = iota
	// classPeers is for the other entry VMs, which are trusted with more.
	classPeers
	// classReserved is for the readiness check and the metrics, which have connections reserved for them.
	classReserved
)

func classOf(listener string) class {
	switch listener {
	case ListenerPeers:
		return classPeers
	case ListenerReadiness, ListenerMetrics:
		return classReserved
	default:
		return classGeneral
	}
}

// phase is what a connection is used for at the moment.
type phase string

const (
	// phaseIdle means that no byte of the next request has arrived.
	phaseIdle   phase = "idle"
	phaseHeader phase = "header"
	// phaseActive lasts from the end of the header to the end of the response.
	phaseActive   phase = "active"
	phaseHijacked phase = "hijacked"
)

// snapshot is the state of a connection that decisions are made on.
type snapshot struct {
	class  class
	caller netip.Addr
	phase  phase
	// reading means that the process waits for a header or body, writing that it waits for the caller to read.
	reading, writing bool
	// age is the time since the idle period or the header began.
	age time.Duration
	// readWait is the time spent waiting for the body, readBytes what arrived of it (or of the header).
	readWait  time.Duration
	readBytes int64
	// readExcess is the part of readBytes that came too far ahead to count, and readStall the wait since bytes last arrived.
	readExcess int64
	readStall  time.Duration
	// writeWait is the time spent waiting for the caller to read the response, writeBytes what it has received.
	writeWait  time.Duration
	writeBytes int64
	// writeExcess and writeStall are the same of the response.
	writeExcess int64
	writeStall  time.Duration
}

// lag returns how far the caller is behind a transfer at allotter.ReclaimRate. It is 0 while the process does not wait for
// the caller.
func (s snapshot) lag() time.Duration {
	var lag time.Duration
	switch {
	case s.reading && s.phase == phaseActive:
		lag = s.readWait - transferTime(s.readBytes-s.readExcess, allotter.ReclaimRate)
	case s.reading:
		lag = s.age - transferTime(s.readBytes, allotter.ReclaimRate)
	}
	if s.writing {
		lag = max(lag, s.writeWait-transferTime(s.writeBytes-s.writeExcess, allotter.ReclaimRate))
	}
	if s.class == classPeers && lag < transferGrace {
		return 0
	}
	return max(lag, 0)
}

// expired returns why a connection must be closed by its limits, or an empty reason.
func (s snapshot) expired(limits Limits) Reason {
	limits = limits.forClass(s.class)
	switch {
	case s.writing && tooSlow(s.writeWait, s.writeStall, s.writeBytes-s.writeExcess):
		return ReasonSlowReader
	case !s.reading:
		return ""
	case s.phase == phaseIdle && s.age > limits.IdleTimeout:
		return ReasonIdle
	case s.phase == phaseHeader && s.age > limits.HeaderTimeout:
		return ReasonHeaderTimeout
	case s.phase == phaseActive && tooSlow(s.readWait, s.readStall, s.readBytes-s.readExcess):
		return ReasonSlowBody
	}
	return ""
}

// tooSlow reports whether a transfer made no progress for transferGrace or falls below minTransferRate after it.
func tooSlow(wait, stall time.Duration, bytes int64) bool {
	return stall > transferGrace || wait > transferGrace+transferTime(bytes, minTransferRate)
}

// excessBytes returns the bytes of a transfer that do not count because it was further ahead than allotter.MaxAhead when
// they came.
func excessBytes(previous, bytes int64, wait time.Duration) int64 {
	return max(previous, bytes-int64((wait+allotter.MaxAhead).Seconds()*allotter.ReclaimRate))
}

// evictable reports whether a connection may be closed to admit another one.
func (s snapshot) evictable() bool {
	if s.class == classReserved {
		return s.lag() >= minReservedLag
	}
	return s.lag() >= allotter.MinReclaimLag
}

func transferTime(bytes, rate int64) time.Duration {
	return time.Duration(float64(bytes) / float64(rate) * float64(time.Second))
}

// eviction is a connection that may be closed, by its index in the list of snapshots, and the number of connections that
// its caller has if those before it in the order were closed.
type eviction struct {
	index, callerConns int
	caller             netip.Addr
}

// permits reports whether the connection may make room for one more of a caller that has a number of connections. Others
// only give way to callers with fewer connections than themselves.
func (e eviction) permits(caller netip.Addr, conns int) bool {
	return e.caller == caller || e.callerConns > conns
}

// planEvictions returns up to limit connections in the order in which they should be closed: the one with the largest lag
// of the caller that has most connections, then anew. Callers without a connection that may be closed are left out.
func planEvictions(list []snapshot, limit int) []eviction {
	callers := groupByCaller(list)
	heap.Init(&callers)
	var plan []eviction
	for len(plan) < limit && len(callers) > 0 {
		most := callers[0]
		plan = append(plan, eviction{index: most.candidates[0].index, callerConns: most.conns, caller: most.caller})
		most.conns--
		most.candidates = most.candidates[1:]
		if len(most.candidates) == 0 {
			heap.Pop(&callers)
		} else {
			heap.Fix(&callers, 0)
		}
	}
	return plan
}

// groupByCaller returns the callers with a connection that may be closed.
func groupByCaller(list []snapshot) callerHeap {
	byCaller := make(map[netip.Addr]*callerConns, len(list))
	for i, s := range list {
		c, ok := byCaller[s.caller]
		if !ok {
			c = &callerConns{caller: s.caller}
			byCaller[s.caller] = c
		}
		c.conns++
		if s.evictable() {
			c.candidates = append(c.candidates, evictionCandidate{index: i, lag: s.lag()})
		}
	}
	var callers callerHeap
	for _, c := range byCaller {
		if len(c.candidates) == 0 {
			continue
		}
		slices.SortFunc(c.candidates, func(a, b evictionCandidate) int {
			return cmp.Or(cmp.Compare(b.lag, a.lag), cmp.Compare(a.index, b.index))
		})
		callers = append(callers, c)
	}
	return callers
}

// callerConns holds the number of connections of a caller, and those that may be closed, the most lagging first.
type callerConns struct {
	caller     netip.Addr
	conns      int
	candidates []evictionCandidate
}

type evictionCandidate struct {
	index int
	lag   time.Duration
}

// callerHeap is a heap of callers, the one with most connections first.
type callerHeap []*callerConns

// Len returns the number of callers.
func (h callerHeap) Len() int { return len(h) }

// Less orders by connections, and by lag if these are equal.
func (h callerHeap) Less(i, j int) bool {
	if h[i].conns != h[j].conns {
		return h[i].conns > h[j].conns
	}
	return h[i].candidates[0].lag > h[j].candidates[0].lag
}

// Swap exchanges two callers.
func (h callerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push adds a caller.
func (h *callerHeap) Push(c any) { *h = append(*h, c.(*callerConns)) }

// Pop removes the last caller.
func (h *callerHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
