package answerer

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiaspread.example/sequoia/allotter"
	"sequoiaspread.example/sequoia/director"
)

// rawCaller is a connection that sends requests byte by byte and reads responses when it wants.
type rawCaller struct {
	net.Conn
	reader *bufio.Reader
}

func dialRaw(t *testing.T, address net.Addr) *rawCaller {
	t.Helper()
	conn, err := net.Dial("tcp", address.String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	// A small window blocks the writer before the kernel has taken a whole response.
	assert.NilError(t, conn.(*net.TCPConn).SetReadBuffer(128<<10))
	return &rawCaller{Conn: conn, reader: bufio.NewReader(conn)}
}

func (c *rawCaller) send(t *testing.T, text string) {
	t.Helper()
	_, err := io.WriteString(c, text)
	assert.NilError(t, err)
}

// receive reads a response that must arrive within a time.
func (c *rawCaller) receive(t *testing.T, within time.Duration) *http.Response {
	t.Helper()
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(within)))
	response, err := http.ReadResponse(c.reader, nil)
	assert.NilError(t, err)
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	response.Body = io.NopCloser(strings.NewReader(string(body)))
	return response
}

// requireClosed checks that the connection is closed within a time.
func (c *rawCaller) requireClosed(t *testing.T, within time.Duration) {
	t.Helper()
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(within)))
	_, err := io.Copy(io.Discard, c.reader)
	assert.Assert(t, !errors.Is(err, os.ErrDeadlineExceeded), "the connection is still open")
}

// serveCallers starts another listener for callers, of which onConnect gets the connections.
func (vm *testVM) serveCallers(t *testing.T, onConnect func(conn net.Conn)) net.Addr {
	t.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &http.Server{Handler: vm.answerer.CallerHandler(), ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
		onConnect(conn)
		return ctx
	}}
	go func() { _ = server.Serve(socket) }()
	t.Cleanup(func() { _ = server.Close() })
	return socket.Addr()
}

// request returns a request with a part of its body; patience is its deadline in milliseconds.
func request(path string, patience, length int, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x.example\r\nId: %s\r\nPatience: %d\r\nContent-Length: %d\r\n\r\n%s",
		path, path, patience, length, body)
}

func largeResponse(size int) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: ID\r\nSeal: s\r\nContent-Length: %d\r\n\r\n", size) + strings.Repeat("x", size)
}

// withLongTimeout gives all routes more time than a test takes.
func withLongTimeout(d *director.Document) {
	for i := range d.Routes {
		d.Routes[i].Timeout = 10 * time.Second
	}
}

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); !holds(); time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline), what)
	}
}

// requireFreeUpstreams checks that no upstream counts as busy any more, although the caller does not read.
func requireFreeUpstreams(t *testing.T, vm *testVM) {
	t.Helper()
	eventually(t, "the upstream is busy while its caller does not read", func() bool {
		for _, sent := range vm.answerer.LocalLoad() {
			if sent.Requests > 0 {
				return false
			}
		}
		return true
	})
}

// Guards against an upstream that stays in use until its caller reads a response for which there is no memory.
func TestUnreadResponseWithoutMemoryHoldsNoUpstream(t *testing.T) {
	vm := newTestVM(t, "north")
	vm.setDocument(withLongTimeout)
	vm.answerer.memory = allotter.New(allotter.Config{Bytes: allotter.SmallBytes})
	u := startUpstream(t, rawResponse(largeResponse(maxResponseBytes), true))
	vm.setUpstreams(u)
	caller := dialRaw(t, vm.callers.Listener.Addr())
	caller.send(t, request("/safe/1", 10_000, 0, ""))
	eventually(t, "the request was not sent", func() bool { return u.requests.Load() == 1 })
	requireFreeUpstreams(t, vm)
	caller.requireClosed(t, time.Second)
}

// Guards against an upstream and its connection that stay in use until the caller has read the response.
func TestUnreadResponseHoldsNoUpstream(t *testing.T) {
	for name, status := range map[string]string{"success": "200 OK", "failure": "500 Failed"} {
		t.Run(name, func(t *testing.T) {
			vm := newTestVM(t, "north")
			vm.setDocument(func(d *director.Document) { withLongTimeout(d); d.Routes[0].Attempts = 1 })
			u := startUpstream(t, rawResponse(strings.Replace(largeResponse(maxResponseBytes), "200 OK", status, 1), true))
			vm.setUpstreams(u)
			caller := dialRaw(t, vm.callers.Listener.Addr())
			caller.send(t, request("/safe/1", 10_000, 0, ""))
			eventually(t, "the request was not sent", func() bool { return u.requests.Load() == 1 })
			requireFreeUpstreams(t, vm)
			assert.Equal(t, vm.answerer.active.Load(), int64(1), "the response was not blocked")
			assert.Equal(t, len(vm.send(t, "/safe/2", "r2").body), maxResponseBytes)
			assert.Equal(t, u.connections.Load(), int64(1))
			assert.Equal(t, caller.receive(t, 5*time.Second).ContentLength, int64(maxResponseBytes))
		})
	}
}

// Guards against bodies that stall and keep their memory from bodies that arrive.
func TestStalledBodyMakesRoom(t *testing.T) {
	const size = 1 << 20
	vm := newSmallVM(t, 4*size)
	vm.setDocument(withLongTimeout)
	u := startUpstream(t, rawResponse(completeResponse, true))
	vm.setUpstreams(u)
	// A caller gets 0.6 of the memory for large bodies: two of these.
	stalled := []*rawCaller{dialRaw(t, vm.callers.Listener.Addr()), dialRaw(t, vm.callers.Listener.Addr())}
	for i, caller := range stalled {
		caller.send(t, request(fmt.Sprint("/unsafe/stalled", i), 10_000, size, "some"))
		eventually(t, "no memory is reserved", func() bool { return vm.answerer.memory.Used() > int64((i+1)*size) })
	}
	time.Sleep(1200 * time.Millisecond)
	got := vm.sendWith(t, "/unsafe/1", "r1", func(r *http.Request) {
		r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", size))), size
	})
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusOK)
	response := stalled[0].receive(t, time.Second)
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, response.Close && response.Header.Get("Come-Back") != "", "%v", response.Header)
	body, _ := io.ReadAll(response.Body)
	assert.Equal(t, string(body), causeNoMemory+"\n")
	stalled[0].requireClosed(t, 2*time.Second)
	assert.Equal(t, u.requests.Load(), int64(1))
}

// Guards against unread responses that keep their memory from others, and against one that counts as answered although
// its connection was closed.
func TestUnreadResponseMakesRoom(t *testing.T) {
	const size = 4 << 20
	vm := newSmallVM(t, 5*size)
	vm.setDocument(withLongTimeout)
	vm.setUpstreams(startUpstream(t, rawResponse(largeResponse(size), true)))
	// What the kernel takes counts as read, so that it has to take little.
	caller := dialRaw(t, vm.serveCallers(t, func(conn net.Conn) { _ = conn.(*net.TCPConn).SetWriteBuffer(4 << 10) }))
	assert.NilError(t, caller.Conn.(*net.TCPConn).SetReadBuffer(32<<10))
	caller.send(t, request("/unsafe/unread", 10_000, 0, ""))
	eventually(t, "no response is buffered", func() bool { return vm.answerer.memory.Used() > size })
	time.Sleep(100 * time.Millisecond)
	// The large responses of an upstream get a quarter of the memory.
	eventually(t, "the unread response keeps its memory", func() bool {
		got := vm.send(t, "/unsafe/1", "r1")
		return assert.Check(t, got.err) && vm.answerer.active.Load() == 0
	})
	assert.Equal(t, vm.answerer.memory.Used(), int64(0))
	caller.requireClosed(t, time.Second)
}

// Guards against a connection that a refused request holds until its body has arrived, and against a refusal that is
// held back until then.
func TestRefusalDoesNotWaitForTheBody(t *testing.T) {
	chunked := "POST /none HTTP/1.1\r\nHost: x.example\r\nId: r\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nsome\r\n"
	for name, test := range map[string]struct {
		request string
		status  int
		change  func(vm *testVM)
	}{
		"no route":          {request("/none", 1000, 1000, "some"), http.StatusNotFound, nil},
		"no route, long":    {request("/none", 1000, 3<<20, "some"), http.StatusNotFound, nil},
		"no route, chunked": {chunked, http.StatusNotFound, nil},
		"no document": {request("/unsafe/1", 1000, 1000, "some"), http.StatusServiceUnavailable,
			func(vm *testVM) { vm.answerer.document.Store(nil) }},
		"too large": {request("/unsafe/1", 1000, 5<<20, "some"), http.StatusRequestEntityTooLarge, nil},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			vm := newTestVM(t, "north")
			vm.setDocument(nil)
			if test.change != nil {
				test.change(vm)
			}
			caller := dialRaw(t, vm.callers.Listener.Addr())
			caller.send(t, test.request)
			response := caller.receive(t, 400*time.Millisecond)
			assert.Equal(t, response.StatusCode, test.status)
			assert.Assert(t, response.Close)
			caller.requireClosed(t, 2*time.Second)
		})
	}
}

// Guards against a refusal that the caller cannot read because its connection is reset while it still sends.
func TestRefusalReachesACallerThatSends(t *testing.T) {
	vm := newTestVM(t, "north")
	vm.setDocument(nil)
	for _, length := range []int{1000, 100_000, 300_000, 3 << 20} {
		for range 10 {
			caller := dialRaw(t, vm.callers.Listener.Addr())
			_, _ = io.WriteString(caller, request("/none", 1000, length, strings.Repeat("x", length)))
			assert.Equal(t, caller.receive(t, time.Second).StatusCode, http.StatusNotFound)
		}
	}
	caller := dialRaw(t, vm.callers.Listener.Addr())
	for range 3 {
		caller.send(t, request("/none", 1000, 0, ""))
		assert.Assert(t, !caller.receive(t, time.Second).Close, "a request without a body costs its connection")
	}
}

// Guards against a body that keeps its connection and memory beyond the deadline of its request, and against a refusal
// that an entry VM can't tell from the response of an upstream.
func TestSlowBodyEndsAtItsDeadline(t *testing.T) {
	head := request("/unsafe/1", 300, 1000, "")
	chunkedHead := strings.Replace(head, "Content-Length: 1000", "Transfer-Encoding: chunked", 1)
	for name, test := range map[string]struct {
		server      func(vm *testVM) *httptest.Server
		head, piece string
	}{
		"caller":  {func(vm *testVM) *httptest.Server { return vm.callers }, head, "x"},
		"chunked": {func(vm *testVM) *httptest.Server { return vm.callers }, chunkedHead, "1\r\nx\r\n"},
		"peer":    {func(vm *testVM) *httptest.Server { return vm.peers }, head, "x"},
	} {
		t.Run(name, func(t *testing.T) {
			vm := newTestVM(t, "north")
			vm.setDocument(nil)
			u := startUpstream(t, rawResponse(completeResponse, true))
			vm.setUpstreams(u)
			caller := dialRaw(t, test.server(vm).Listener.Addr())
			began := time.Now()
			caller.send(t, test.head)
			go func() {
				for range 30 {
					_, _ = io.WriteString(caller, test.piece)
					time.Sleep(20 * time.Millisecond)
				}
			}()
			response := caller.receive(t, 1500*time.Millisecond)
			assert.Equal(t, response.StatusCode, http.StatusRequestTimeout)
			assert.Assert(t, response.Close)
			assert.Assert(t, time.Since(began) >= 300*time.Millisecond && time.Since(began) < 500*time.Millisecond, "%v", time.Since(began))
			if name == "peer" {
				assert.Equal(t, response.Header.Get(headerOutcome), outcomeNotRun)
			}
			caller.requireClosed(t, 2*time.Second)
			assert.Equal(t, u.requests.Load(), int64(0))
			eventually(t, "memory is still reserved", func() bool { return vm.answerer.memory.Used() == 0 })
		})
	}
}

// Guards against the deadline of a body that ends its connection after the body has arrived.
func TestConnectionOutlastsTheDeadlineOfABody(t *testing.T) {
	vm := newTestVM(t, "north")
	vm.setDocument(nil)
	vm.setUpstreams(startUpstream(t, rawResponse(completeResponse, true)))
	caller := dialRaw(t, vm.callers.Listener.Addr())
	for range 3 {
		caller.send(t, request("/unsafe/1", 200, 4, "so"))
		time.Sleep(50 * time.Millisecond)
		caller.send(t, "me")
		response := caller.receive(t, time.Second)
		assert.Assert(t, response.StatusCode == http.StatusOK && !response.Close)
		time.Sleep(250 * time.Millisecond)
	}
}

// Guards against a stream that keeps its upstream after the connection of a caller that does not read was closed.
func TestUnreadStreamIsAborted(t *testing.T) {
	vm := newTestVM(t, "north")
	vm.setDocument(withLongTimeout)
	closed := make(chan struct{})
	vm.setUpstreams(startUpstream(t, func(conn net.Conn, r *http.Request) bool {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nSeal: s\r\n\r\n")
		defer close(closed)
		for {
			if _, err := io.WriteString(conn, "data: "+strings.Repeat("x", 32<<10)+"\n\n"); err != nil {
				return false
			}
		}
	}))
	conns := make(chan net.Conn, 1)
	caller := dialRaw(t, vm.serveCallers(t, func(conn net.Conn) { conns <- conn }))
	caller.send(t, request("/stream/1", 10_000, 0, ""))
	conn := <-conns
	select {
	case <-closed:
		t.Fatal("the stream was not blocked")
	case <-time.After(300 * time.Millisecond):
	}
	assert.NilError(t, conn.Close())
	select {
	case <-closed:
	case <-time.After(time.Second):
		t.Fatal("the connection to the upstream is still open")
	}
	eventually(t, "the request is still in progress", func() bool { return vm.answerer.active.Load() == 0 })
}
