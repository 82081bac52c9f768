package acceptor

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"sequoiaspread.example/sequoia/allotter"
)

// Names of listeners. The guard treats them differently: the readiness check and the metrics have connections reserved
// for them, and connections of the peers are closed later than others.
const (
	ListenerCallers   = "callers"
	ListenerPeers     = "peers"
	ListenerReadiness = "readiness"
	ListenerMetrics   = "metrics"
	ListenerOperators = "operators"
	ListenerDirectory = "directory"
)

const (
	sweepInterval = 500 * time.Millisecond
	// reservedConnections is the number of connections that only the reserved listeners can use.
	reservedConnections = 32
	// evictionInterval is the time for which a search for connections to close is used, since each looks at all, and
	// plannedEvictions is the number that one search finds.
	evictionInterval = 100 * time.Millisecond
	plannedEvictions = 1024
	// admitAttempts is the number of connections that are tried to make room for one.
	admitAttempts = 8
	// maxHeaderBytes is the limit of net/http, above all limits of documents, which the guard enforces itself.
	maxHeaderBytes = 1 << 20
)

// Config holds the settings of a Guard. All are optional.
type Config struct {
	// Account is charged for connections and headers.
	Account *allotter.Allotter
	// MaxConnections limits the connections of all listeners together; 0 means no limit.
	MaxConnections int
	// Limits returns the limits of the document in force.
	Limits  func() Limits
	Logger  logrus.FieldLogger
	Metrics *Metrics
}

// MaxConnections returns the number of connections for a process with a number of file descriptors. 200 of those are for
// files, and a quarter of the rest is for the connections that the process opens itself.
func MaxConnections(maxDescriptors int) int {
	if maxDescriptors <= 0 {
		return 0
	}
	return max(1, (maxDescriptors-fileDescriptors)*3/4)
}

const fileDescriptors = 200

// Guard watches the connections of all listeners of a process.
type Guard struct {
	config    Config
	startedAt time.Time
	reporter  *reporter
	// charged is the sum of the charges of all connections.
	charged atomic.Int64

	mu        sync.Mutex
	conns     map[*conn]struct{}
	perCaller map[netip.Addr]int
	// reservedLimit is the number of connections that only the reserved listeners can use, and reserved the number they have.
	reservedLimit, reserved int
	// plan holds the connections to close next, as planned at plannedAt.
	plan      []plannedEviction
	plannedAt time.Duration
	planned   bool
	// sweptAt is the time of the last sweep, since the guard was created.
	sweptAt time.Duration
}

type plannedEviction struct {
	eviction
	conn *conn
}

// New returns a guard whose Run must be called.
func New(config Config) *Guard {
	g := &Guard{
		config: config, startedAt: time.Now(), reporter: newReporter(config.Metrics, config.Logger),
		conns: map[*conn]struct{}{}, perCaller: map[netip.Addr]int{}, reservedLimit: reservedConnections,
	}
	if config.MaxConnections > 0 {
		g.reservedLimit = min(g.reservedLimit, config.MaxConnections/4)
	}
	return g
}

// Listener wraps a listener, whose connections then count. The name is one of the constants of this package.
func (g *Guard) Listener(name string, l net.Listener) net.Listener {
	return &guardedListener{Listener: l, guard: g, name: name, class: classOf(name)}
}

// Attach makes a server tell the guard the states of its connections. The guard replaces the timeouts of the server for
// headers and idle connections, and its limit of the header.
func (g *Guard) Attach(server *http.Server) {
	previous := server.ConnState
	server.ConnState = func(raw net.Conn, state http.ConnState) {
		if c, ok := raw.(*conn); ok {
			c.setState(state)
		}
		if previous != nil {
			previous(raw, state)
		}
	}
	server.ReadHeaderTimeout, server.IdleTimeout = 0, 0
	server.MaxHeaderBytes = maxHeaderBytes
}

// Run closes connections by their limits until the context ends.
func (g *Guard) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		g.sweep()
	}
}

func (g *Guard) sweep() {
	now := g.now()
	g.mu.Lock()
	paused := g.paused(now)
	g.sweptAt = now
	g.mu.Unlock()
	if paused && g.config.Account != nil {
		g.config.Account.RestartLags(time.Now())
	}
	g.config.Metrics.setBytes(g.charged.Load())
	limits := g.limits()
	for _, c := range g.list() {
		if paused {
			c.restart(now)
			continue
		}
		if reason := c.check(now, limits); reason != "" {
			c.closeFor(reason, func(s snapshot) bool { return s.expired(limits) == reason })
		}
	}
}

// paused reports whether the process stood still, so that the times since the last sweep say nothing about callers. The
// lock must be held.
func (g *Guard) paused(now time.Duration) bool {
	return now-g.sweptAt > 2*sweepInterval
}

func (g *Guard) now() time.Duration {
	return time.Since(g.startedAt)
}

func (g *Guard) limits() Limits {
	if g.config.Limits == nil {
		return Limits{}.withDefaults()
	}
	return g.config.Limits().withDefaults()
}

// list returns the connections.
func (g *Guard) list() []*conn {
	g.mu.Lock()
	defer g.mu.Unlock()
	list := make([]*conn, 0, len(g.conns))
	for c := range g.conns {
		list = append(list, c)
	}
	return list
}

func (g *Guard) reserve(holder allotter.Holder) *allotter.Reservation {
	if g.config.Account == nil {
		return nil
	}
	return g.config.Account.Reserve(holder)
}

// admit returns the connection that wraps an accepted one, or nil if that was refused and closed.
func (g *Guard) admit(l *guardedListener, raw net.Conn) *conn {
	caller := addressOf(raw)
	c := &conn{
		Conn: raw, guard: g, listener: l.name, class: l.class, caller: caller, holder: allotter.Caller(caller.String()),
		phase: phaseIdle, since: g.now(),
	}
	if !g.add(c) {
		g.reporter.report(l.name, ReasonRefusedConnection, c.snapshot(g.now()))
		_ = raw.Close()
		return nil
	}
	if c.free {
		return c
	}
	memory := g.reserve(c.holder)
	c.mu.Lock()
	c.memory = memory
	c.mu.Unlock()
	if !c.grow(memory, connectionBytes, connectionBytes) {
		c.closeFor(ReasonRefusedConnection, nil)
		return nil
	}
	return c
}

// add counts a connection. At the limit it closes another one first, or returns false if none may be closed.
func (g *Guard) add(c *conn) bool {
	for range admitAttempts {
		victim, ok := g.addOrPlan(c)
		if ok {
			return true
		}
		if victim == nil {
			return false
		}
		victim.closeFor(ReasonReclaimedConnection, snapshot.evictable)
	}
	return false
}

// addOrPlan counts a connection, or at the limit returns the one that should be closed first.
func (g *Guard) addOrPlan(c *conn) (victim *conn, ok bool) {
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.hasRoom(c.class) {
		g.count(c)
		return nil, true
	}
	if g.paused(now) {
		return nil, false
	}
	if !g.planned || now-g.plannedAt >= evictionInterval {
		g.planEvictions(now)
	}
	return g.nextEviction(c), false
}

// hasRoom reports whether a listener of a class may have one more connection. The lock must be held.
func (g *Guard) hasRoom(c class) bool {
	if g.config.MaxConnections <= 0 {
		return true
	}
	if c == classReserved {
		return g.reserved < g.reservedLimit || len(g.conns) < g.config.MaxConnections
	}
	return len(g.conns)+max(0, g.reservedLimit-g.reserved) < g.config.MaxConnections
}

// count adds a connection. The lock must be held.
func (g *Guard) count(c *conn) {
	g.conns[c] = struct{}{}
	g.perCaller[c.caller]++
	g.config.Metrics.addConnections(c.listener, 1)
	if c.class == classReserved {
		g.reserved++
		c.free = g.reserved <= g.reservedLimit
	}
}

// planEvictions searches for connections to close. The lock must be held.
func (g *Guard) planEvictions(now time.Duration) {
	var list []*conn
	var snapshots []snapshot
	for c := range g.conns {
		c.mu.Lock()
		snapshots = append(snapshots, c.snapshot(now))
		c.mu.Unlock()
		list = append(list, c)
	}
	g.plan, g.plannedAt, g.planned = nil, now, true
	for _, e := range planEvictions(snapshots, plannedEvictions) {
		g.plan = append(g.plan, plannedEviction{eviction: e, conn: list[e.index]})
	}
}

// nextEviction removes and returns the first planned connection that may make room for another one, or nil. Those in the
// reserve make room for their kind only. The lock must be held.
func (g *Guard) nextEviction(c *conn) *conn {
	for i, e := range g.plan {
		inReserve := e.conn.class == classReserved && g.reserved <= g.reservedLimit
		if e.permits(c.caller, g.perCaller[c.caller]) && (!inReserve || c.class == classReserved) {
			g.plan = slices.Delete(g.plan, i, i+1)
			return e.conn
		}
	}
	return nil
}

// remove ends the count of a connection.
func (g *Guard) remove(c *conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, known := g.conns[c]; !known {
		return
	}
	delete(g.conns, c)
	g.perCaller[c.caller]--
	if g.perCaller[c.caller] == 0 {
		delete(g.perCaller, c.caller)
	}
	if c.class == classReserved {
		g.reserved--
	}
	g.config.Metrics.addConnections(c.listener, -1)
}

// addressOf returns the source address of a connection, or the zero address if it is none of IP.
func addressOf(c net.Conn) netip.Addr {
	if address, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		return address.AddrPort().Addr().Unmap()
	}
	return netip.Addr{}
}

type guardedListener struct {
	net.Listener
	guard *Guard
	name  string
	class class
}

// Accept returns the next connection that the guard admits.
func (l *guardedListener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.guard.admit(l, raw); c != nil {
			return c, nil
		}
	}
}
