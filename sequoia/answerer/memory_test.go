package answerer

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiaspread.example/sequoia/allotter"
)

// newSmallVM returns a VM with little memory for bodies.
func newSmallVM(t *testing.T, bytes int64) *testVM {
	t.Helper()
	vm := newTestVM(t, "north")
	vm.answerer.memory = allotter.New(allotter.Config{Bytes: bytes})
	vm.setDocument(nil)
	return vm
}

// Guards against an upstream that answers many callers at once with bytes without end: the VM kept all of them, ran out of
// memory and ended, and with it the requests of everyone else.
func TestAnswersWithoutEndAreBoundedTogether(t *testing.T) {
	const (
		callers = 40
		memory  = 8 << 20
	)
	for name, start := range map[string]string{
		"body":  "HTTP/1.1 200 OK\r\nId: ID\r\nSeal: s\r\n\r\n",
		"event": "HTTP/1.1 200 OK\r\nId: ID\r\nSeal: s\r\n\r\ndata: ",
	} {
		t.Run(name, func(t *testing.T) {
			vm := newSmallVM(t, memory)
			var written atomic.Int64
			endless, complete := endlessResponse(&written, start, "x"), rawResponse(completeResponse, true)
			vm.setUpstreams(startUpstream(t, func(conn net.Conn, request *http.Request) bool {
				if strings.HasSuffix(request.URL.Path, "/faulty") {
					return endless(conn, request)
				}
				return complete(conn, request)
			}))
			var wg sync.WaitGroup
			class := map[string]string{"body": "unsafe", "event": "stream"}[name]
			for i := range callers {
				wg.Go(func() {
					got := vm.send(t, "/"+class+"/faulty", fmt.Sprint("f", i))
					assert.Check(t, got.err != nil || got.status != http.StatusOK, "bytes without end count as an answer")
				})
			}
			done := make(chan struct{})
			go func() { wg.Wait(); close(done) }()
			for n := 0; ; n++ {
				assert.Assert(t, vm.answerer.memory.Used() <= memory)
				got := vm.send(t, "/unsafe/sound", fmt.Sprint("s", n))
				// The faulty upstream is ejected at times.
				assert.Assert(t, got.status == http.StatusOK || got.status == http.StatusServiceUnavailable, "%d", got.status)
				select {
				case <-done:
					assert.Equal(t, vm.answerer.memory.Used(), int64(0))
					return
				default:
				}
			}
		})
	}
}

// Guards against sound answers that are thrown away because no memory is left for them, and against one that breaks off
// and counts as whole.
func TestAnswersAreDeliveredWithoutMemory(t *testing.T) {
	const size = 1 << 20
	for name, head := range map[string]string{
		"length":    fmt.Sprintf("Content-Length: %d\r\n\r\n", size),
		"no length": "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			vm := newSmallVM(t, size)
			answer := "HTTP/1.1 200 OK\r\nId: ID\r\nSeal: s\r\n" + head + strings.Repeat("x", size)
			vm.setUpstreams(startUpstream(t, rawResponse(answer, false)))
			got := vm.send(t, "/unsafe/1", "r1")
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, http.StatusOK)
			assert.Equal(t, len(got.body), size)
			assert.Equal(t, got.header.Get("Seal"), "s")
		})
	}
	vm := newSmallVM(t, size)
	vm.setUpstreams(startUpstream(t, rawResponse("HTTP/1.1 200 OK\r\nId: ID\r\nSeal: s\r\n"+
		fmt.Sprintf("Content-Length: %d\r\n\r\n", 2*size)+strings.Repeat("x", size), false)))
	got := vm.send(t, "/unsafe/1", "r1")
	assert.Assert(t, got.err != nil, "a truncated answer counts as whole")
}

// Guards against bodies of callers that fill the memory together: those that do not fit are refused as not run before
// they are read, and small requests go on.
func TestBodiesThatDoNotFitAreRefused(t *testing.T) {
	const (
		size   = 1 << 20
		memory = 4 << 20
	)
	vm := newSmallVM(t, memory)
	u := startUpstream(t, rawResponse(completeResponse, true))
	vm.setUpstreams(u)
	var refused atomic.Int64
	var wg sync.WaitGroup
	var conns []net.Conn
	for range 8 {
		conn, err := net.Dial("tcp", vm.callers.Listener.Addr().String())
		assert.NilError(t, err)
		conns = append(conns, conn)
		// The body never comes.
		_, err = fmt.Fprintf(conn, "POST /unsafe/1 HTTP/1.1\r\nHost: x.example\r\nId: large\r\nContent-Length: %d\r\n\r\n", size)
		assert.NilError(t, err)
		wg.Go(func() {
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				return
			}
			assert.Check(t, response.StatusCode == http.StatusServiceUnavailable && response.Header.Get("Come-Back") != "", "%d %v", response.StatusCode, response.Header)
			refused.Add(1)
		})
	}
	// A caller gets 0.6 of the memory for large bodies: two of these.
	for deadline := time.Now().Add(5 * time.Second); refused.Load() < 6; time.Sleep(10 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline), "%d refused", refused.Load())
	}
	assert.Equal(t, u.requests.Load(), int64(0))
	assert.Equal(t, vm.send(t, "/unsafe/1", "small").status, http.StatusOK)
	for _, conn := range conns {
		_ = conn.Close()
	}
	wg.Wait()
	for deadline := time.Now().Add(5 * time.Second); vm.answerer.memory.Used() > 0; time.Sleep(10 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline), "%d bytes are still reserved", vm.answerer.memory.Used())
	}
}
