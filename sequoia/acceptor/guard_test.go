package acceptor

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"gotest.tools/v3/assert"

	"sequoiaspread.example/sequoia/allotter"
)

const (
	get       = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"
	post      = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\n"
	largeBody = 64 << 20
)

type testServer struct {
	t     *testing.T
	guard *Guard
	// release ends the handler of /wait, and waiting gets a value when it has begun.
	release, waiting chan bool
	address          string
}

// startServer starts a server that echoes bodies; /wait waits for release, and /large has a large response.
func startServer(t *testing.T, listener string, config Config) *testServer {
	t.Helper()
	config.Metrics = NewMetrics(prometheus.NewRegistry())
	s := &testServer{t: t, guard: New(config), release: make(chan bool), waiting: make(chan bool, 1)}
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s.address = raw.Addr().String()
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/wait":
			s.waiting <- true
			<-s.release
		case "/large":
			_, _ = w.Write(make([]byte, largeBody))
		}
		_, _ = io.Copy(w, r.Body)
	})}
	s.guard.Attach(server)
	ctx, cancel := context.WithCancel(context.Background())
	go s.guard.Run(ctx)
	go func() { _ = server.Serve(s.guard.Listener(listener, raw)) }()
	t.Cleanup(func() {
		cancel()
		_ = server.Close()
	})
	return s
}

func (s *testServer) dial(text string) net.Conn {
	s.t.Helper()
	c, err := net.Dial("tcp", s.address)
	assert.NilError(s.t, err)
	s.t.Cleanup(func() { _ = c.Close() })
	_, err = io.WriteString(c, text)
	assert.NilError(s.t, err)
	return c
}

// answer reads a response and returns its status and body.
func (s *testServer) answer(reader *bufio.Reader) (int, string) {
	s.t.Helper()
	response, err := http.ReadResponse(reader, nil)
	assert.NilError(s.t, err)
	body, err := io.ReadAll(response.Body)
	assert.NilError(s.t, err)
	return response.StatusCode, string(body)
}

func (s *testServer) eventually(what string, condition func() bool) {
	s.t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !condition(); time.Sleep(5 * time.Millisecond) {
		assert.Assert(s.t, time.Now().Before(deadline), what)
	}
}

func (s *testServer) closed(reason Reason) func() bool {
	return func() bool {
		return testutil.CollectAndCount(s.guard.config.Metrics.closed) > 0 &&
			testutil.ToFloat64(s.guard.config.Metrics.closed.WithLabelValues(ListenerCallers, string(reason))) > 0
	}
}

// ends reports whether the server closes a connection within a time.
func ends(c net.Conn, within time.Duration) bool {
	_ = c.SetReadDeadline(time.Now().Add(within))
	_, err := io.Copy(io.Discard, c)
	var timeout net.Error
	return !errors.As(err, &timeout) || !timeout.Timeout()
}

// Guards against requests that break by the wrapper, and against charges that remain after a request or a connection.
func TestRequestsAreServedAndChargesEnd(t *testing.T) {
	account := allotter.New(allotter.Config{Bytes: 1 << 20})
	s := startServer(t, ListenerCallers, Config{Account: account, MaxConnections: 100})
	c := s.dial(strings.Repeat(post+"body", 50) + get + post[:20])
	reader := bufio.NewReader(c)
	for range 50 {
		status, body := s.answer(reader)
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, body, "body")
	}
	s.answer(reader)
	_, err := io.WriteString(c, post[20:]+"body")
	assert.NilError(t, err)
	_, body := s.answer(reader)
	assert.Equal(t, body, "body")
	s.eventually("the header is charged after its request", func() bool {
		return account.Used() == connectionBytes && testutil.ToFloat64(s.guard.config.Metrics.bytes) == connectionBytes
	})
	assert.NilError(t, c.Close())
	s.eventually("the connection is charged after its end", func() bool { return account.Used() == 0 && len(s.guard.list()) == 0 })
	s.eventually("the metric counts ended charges", func() bool { return testutil.ToFloat64(s.guard.config.Metrics.bytes) == 0 })
}

// Guards against limits of the document that are not applied, against a limit that applies to a request in progress, and
// against a byte of the next request that makes one in progress look like a body.
func TestLimitsOfTheDocumentApply(t *testing.T) {
	limits := func() Limits {
		return Limits{HeaderBytes: 1000, HeaderTimeout: 200 * time.Millisecond, IdleTimeout: 400 * time.Millisecond}
	}
	s := startServer(t, ListenerCallers, Config{Limits: limits})
	processed := s.dial(strings.Replace(get, "/", "/wait", 1) + "G")
	<-s.waiting
	assert.Assert(t, ends(s.dial(""), 3*time.Second))
	assert.Assert(t, s.closed(ReasonIdle)())
	assert.Assert(t, ends(s.dial(get[:20]), 3*time.Second))
	assert.Assert(t, s.closed(ReasonHeaderTimeout)())
	tooLarge := s.dial("GET / HTTP/1.1\r\nHost: x\r\nLong: " + strings.Repeat("x", 1000+headerSlopBytes) + "\r\n\r\n")
	status, _ := s.answer(bufio.NewReader(tooLarge))
	assert.Equal(t, status, http.StatusRequestHeaderFieldsTooLarge)
	s.eventually("not counted", s.closed(ReasonHeaderTooLarge))
	for _, c := range s.guard.list() {
		assert.Equal(t, c.check(s.guard.now()+time.Hour, limits()), Reason(""))
	}
	s.release <- true
	reader := bufio.NewReader(processed)
	s.answer(reader)
	_, err := io.WriteString(processed, get[1:])
	assert.NilError(t, err)
	s.answer(reader)
}

// Guards against bodies that stall and responses that are not read, and against written bytes that count as read.
func TestStalledTransfersExpire(t *testing.T) {
	s := startServer(t, ListenerCallers, Config{})
	limits := Limits{}.withDefaults()
	for text, reason := range map[string]Reason{post + "bod": ReasonSlowBody, strings.Replace(get, "/", "/large", 1): ReasonSlowReader} {
		c := s.dial(text)
		var watched *conn
		s.eventually("not waiting for the caller", func() bool {
			list := s.guard.list()
			if len(list) != 1 {
				return false
			}
			watched = list[0]
			watched.mu.Lock()
			defer watched.mu.Unlock()
			return watched.phase == phaseActive && (watched.reading || watched.writing && s.guard.now()-watched.writeBegan > 100*time.Millisecond)
		})
		now := s.guard.now()
		assert.Equal(t, watched.check(now+transferGrace-time.Second, limits), Reason(""))
		watched.mu.Lock()
		received := watched.written - watched.unread
		watched.mu.Unlock()
		late := now + transferGrace + time.Minute + transferTime(received, minTransferRate)
		assert.Equal(t, watched.check(late, limits), reason)
		// What the caller received without reading it fits into its buffers.
		assert.Assert(t, received < largeBody/4, "%d", received)
		assert.NilError(t, c.Close())
		s.eventually("still counted", func() bool { return len(s.guard.list()) == 0 })
	}
}

// Guards against a process without free connections that serves nobody, and against requests in progress being closed.
func TestConnectionLimitClosesTheMostLagging(t *testing.T) {
	s := startServer(t, ListenerCallers, Config{MaxConnections: 8})
	processed := s.dial(strings.Replace(get, "/", "/wait", 1))
	<-s.waiting
	var stalled []net.Conn
	for range 5 {
		stalled = append(stalled, s.dial(""))
	}
	s.eventually("not admitted", func() bool { return len(s.guard.list()) == 6 })
	assert.Assert(t, ends(s.dial(""), 500*time.Millisecond), "admitted beyond the limit")
	assert.Assert(t, s.closed(ReasonRefusedConnection)())
	time.Sleep(allotter.MinReclaimLag)
	for range 5 {
		status, _ := s.answer(bufio.NewReader(s.dial(get)))
		assert.Equal(t, status, http.StatusOK)
	}
	assert.Assert(t, s.closed(ReasonReclaimedConnection)())
	for _, c := range stalled {
		assert.Assert(t, ends(c, time.Second))
	}
	s.release <- true
	s.answer(bufio.NewReader(processed))
}

// Guards against stalled callers that keep the memory from others, and against headers of many short fields that are not
// charged.
func TestStalledConnectionsGiveBackMemory(t *testing.T) {
	account := allotter.New(allotter.Config{Bytes: 20 * connectionBytes})
	s := startServer(t, ListenerCallers, Config{Account: account})
	for range 4 {
		s.dial("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n" + strings.Repeat("a:\n", 100) + "\r\nbod")
	}
	s.eventually("headers are not charged", func() bool { return account.Used() > 4*(connectionBytes+100*headerLineBytes) })
	assert.Assert(t, ends(s.dial("GET / HTTP/1.1\r\nHost: x\r\n"+strings.Repeat("a:\n", 1000)+"\r\n"), time.Second))
	assert.Assert(t, s.closed(ReasonHeaderMemory)())
	s.eventually("stalled connections keep the memory", func() bool {
		s.dial("")
		time.Sleep(20 * time.Millisecond)
		return s.closed(ReasonReclaimedMemory)()
	})
}

// Guards against a wrapper that hides from the code what it uses of a socket.
func TestConnectionShowsItsSocket(t *testing.T) {
	s := startServer(t, ListenerReadiness, Config{})
	s.dial("")
	s.eventually("not admitted", func() bool { return len(s.guard.list()) == 1 })
	var c net.Conn = s.guard.list()[0]
	_, ok := c.(syscall.Conn)
	assert.Assert(t, ok)
	assert.NilError(t, c.(interface{ SetLinger(seconds int) error }).SetLinger(0))
	assert.NilError(t, c.(interface{ CloseWrite() error }).CloseWrite())
	_, ok = c.(interface{ NetConn() net.Conn }).NetConn().(*net.TCPConn)
	assert.Assert(t, ok)
}

// Guards against a connection that is closed although its request has arrived and only the process is late.
func TestArrivedRequestIsNotClosed(t *testing.T) {
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	g := New(Config{})
	l := g.Listener(ListenerCallers, raw)
	defer func() { _ = l.Close() }()
	caller, err := net.Dial("tcp", raw.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = caller.Close() }()
	accepted, err := l.Accept()
	assert.NilError(t, err)
	c := accepted.(*conn)
	always := func(snapshot) bool { return true }
	c.beginRead(100)
	_, err = io.WriteString(caller, get)
	assert.NilError(t, err)
	time.Sleep(20 * time.Millisecond)
	assert.Assert(t, !c.closeFor(ReasonIdle, always))
	_, err = c.Conn.Read(make([]byte, 100))
	assert.NilError(t, err)
	assert.Assert(t, c.closeFor(ReasonIdle, always))
}

// Guards against connections that are closed because the process stood still.
func TestPauseOfTheProcess(t *testing.T) {
	s := startServer(t, ListenerCallers, Config{Limits: func() Limits { return Limits{IdleTimeout: 3 * time.Second} }})
	g := New(s.guard.config)
	g.sweptAt = -time.Minute
	c := &conn{guard: g, phase: phaseIdle, reading: true, since: -time.Minute}
	g.conns[c] = struct{}{}
	g.sweep()
	assert.Assert(t, !c.closed && c.since >= 0)
}

// Guards against a crowd at the readiness address that keeps out the checks or the callers, and against callers that use
// the connections reserved for the checks.
func TestReserveOfTheReadinessCheck(t *testing.T) {
	g := New(Config{MaxConnections: 40})
	add := func(c class) bool {
		_, ok := g.addOrPlan(&conn{guard: g, class: c, phase: phaseActive})
		return ok
	}
	fill := func(c class) (admitted int) {
		for add(c) {
			admitted++
		}
		return admitted
	}
	assert.Equal(t, fill(classGeneral), 30)
	assert.Equal(t, fill(classReserved), 10)
	for c := range g.conns {
		if c.class == classGeneral {
			g.remove(c)
		}
	}
	assert.Equal(t, fill(classReserved), 30)
	assert.Assert(t, !add(classGeneral))
	// Those beyond the reserve make room for callers, those within it do not.
	free := 0
	for c := range g.conns {
		c.phase, c.reading, c.since = phaseIdle, true, -time.Minute
		if c.free {
			free++
		}
	}
	assert.Equal(t, free, 10)
	g.planned = false
	for range 30 {
		victim, ok := g.addOrPlan(&conn{guard: g})
		assert.Assert(t, victim != nil && !ok)
		g.remove(victim)
		assert.Assert(t, add(classGeneral))
	}
	victim, ok := g.addOrPlan(&conn{guard: g})
	assert.Assert(t, victim == nil && !ok)
	victim, _ = g.addOrPlan(&conn{guard: g, class: classReserved})
	assert.Assert(t, victim != nil)
}

// Guards against a pipelined request that counts as an idle period, so that its connection is closed before the response,
// and against a late body whose bytes count as lines of a header.
func TestPipelinedRequestIsActive(t *testing.T) {
	s := startServer(t, ListenerCallers, Config{Limits: func() Limits { return Limits{IdleTimeout: 200 * time.Millisecond} }})
	wait := strings.Replace(get, "/", "/wait", 1)
	c := s.dial(get + wait + post)
	reader := bufio.NewReader(c)
	s.answer(reader)
	<-s.waiting
	time.Sleep(200*time.Millisecond + 2*sweepInterval)
	s.release <- true
	status, _ := s.answer(reader)
	assert.Equal(t, status, http.StatusOK)
	watched := s.guard.list()[0]
	s.eventually("the late body is not awaited as a body", func() bool {
		watched.mu.Lock()
		defer watched.mu.Unlock()
		return watched.phase == phaseActive && watched.reading
	})
	_, err := io.WriteString(c, "\n\n\n\n")
	assert.NilError(t, err)
	_, body := s.answer(reader)
	assert.Equal(t, body, "\n\n\n\n")
	watched.mu.Lock()
	defer watched.mu.Unlock()
	assert.Equal(t, watched.scanner.lines, int64(0))
}
