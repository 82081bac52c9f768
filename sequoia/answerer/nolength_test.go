package answerer

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiaspread.example/sequoia/director"
	"sequoiaspread.example/sequoia/fleetserver"
)

// connectionEnd tells how the connection of an answer without a length ends.
type connectionEnd int

const (
	endClosed connectionEnd = iota
	endReset
)

// withoutLength answers with a start line, the fields of an upstream and a body that ends with its connection.
func withoutLength(start, body string, end connectionEnd) responder {
	return func(conn net.Conn, request *http.Request) bool {
		_, _ = io.WriteString(conn, start+"\r\nId: "+request.Header.Get("Id")+"\r\nSeal: s\r\n\r\n"+body)
		if end == endReset {
			// Without this wait the reset may overtake the bytes.
			time.Sleep(30 * time.Millisecond)
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
		return false
	}
}

// startPair returns the VM that a caller reaches and the one in the home region of all routes.
func startPair(t *testing.T) (here, home *testVM) {
	here, home = newTestVM(t, "south"), newTestVM(t, "north")
	for _, vm := range []*testVM{here, home} {
		vm.setDocument(func(d *director.Document) {
			for i := range d.Routes {
				d.Routes[i].HomeRegions = []string{"north"}
			}
		})
	}
	here.answerer.SetFleet([]fleetserver.EntryVM{here.entry(), home.entry()})
	return here, home
}

// startPath returns the VM that a caller reaches and the one that reaches the upstreams. They differ if forwarded is set.
func startPath(t *testing.T, forwarded bool) (entry, home *testVM) {
	here, home := startPair(t)
	if forwarded {
		return here, home
	}
	return home, home
}

// Guards against an answer without a length that is lost, or looks complete after it was broken off, at the VM that
// reads it and at one that forwards it.
func TestAnswerWithoutLength(t *testing.T) {

	for name, c := range map[string]struct {
		path, start, body string
		end               connectionEnd
		complete          bool
	}{
		"closed":                        {"/unsafe/1", "HTTP/1.1 200 OK", "whole", endClosed, true},
		"closed without a body":         {"/unsafe/1", "HTTP/1.1 200 OK", "", endClosed, true},
		"closed, HTTP/1.0":              {"/unsafe/1", "HTTP/1.0 200 OK", "whole", endClosed, true},
		"reset":                         {"/unsafe/1", "HTTP/1.1 200 OK", "whole", endReset, false},
		"reset, HTTP/1.0":               {"/unsafe/1", "HTTP/1.0 200 OK", "whole", endReset, false},
		"reset before the body":         {"/unsafe/1", "HTTP/1.1 200 OK", "", endReset, false},
		"stream closed between events":  {"/stream/1", "HTTP/1.1 200 OK", twoEvents, endClosed, true},
		"stream closed, HTTP/1.0":       {"/stream/1", "HTTP/1.0 200 OK", twoEvents, endClosed, true},
		"stream closed in an event":     {"/stream/1", "HTTP/1.1 200 OK", twoEvents + "id: 3\ndata", endClosed, false},
		"stream closed before its end":  {"/stream/1", "HTTP/1.1 200 OK", twoEvents + "id: 3\ndata: c\n", endClosed, false},
		"stream closed in first event":  {"/stream/1", "HTTP/1.1 200 OK", "id: 1", endClosed, false},
		"stream reset between events":   {"/stream/1", "HTTP/1.1 200 OK", twoEvents, endReset, false},
		"stream reset in an event":      {"/stream/1", "HTTP/1.1 200 OK", twoEvents + "id: 3", endReset, false},
		"stream reset before any event": {"/stream/1", "HTTP/1.1 200 OK", "", endReset, false},
	} {
		for _, forwarded := range []bool{false, true} {
			t.Run(name+map[bool]string{true: ", forwarded"}[forwarded], func(t *testing.T) {
				t.Parallel()
				vm, home := startPath(t, forwarded)
				home.setUpstreams(startUpstream(t, withoutLength(c.start, c.body, c.end)))
				for range 2 {
					got := vm.send(t, c.path, "r1")
					if c.complete {
						assert.NilError(t, got.err)
						assert.Equal(t, got.status, http.StatusOK)
						assert.Equal(t, got.body, c.body)
						continue
					}
					assert.Assert(t, got.err != nil || got.status == http.StatusBadGateway, "%d %q", got.status, got.body)
					assert.Assert(t, got.status != http.StatusOK || strings.HasPrefix(twoEvents, got.body), "%q", got.body)
				}
			})
		}
	}
}

// Guards against a broken stream that looks complete to a caller without chunks, for whom the end of the connection is
// the end of the response.
func TestBrokenStreamResetsConnectionOfOldCaller(t *testing.T) {
	for name, c := range map[string]struct {
		body     string
		complete bool
	}{
		"complete": {"id: 1\ndata: a\n\n", true},
		"broken":   {"id: 1\ndata: a\n\nid: 2\nda", false},
	} {
		t.Run(name, func(t *testing.T) {
			vm := newTestVM(t, "north")
			vm.setDocument(nil)
			vm.setUpstreams(startUpstream(t, withoutLength("HTTP/1.1 200 OK", c.body, endClosed)))
			conn, err := net.Dial("tcp", vm.callers.Listener.Addr().String())
			assert.NilError(t, err)
			defer func() { _ = conn.Close() }()
			_, err = io.WriteString(conn, "POST /stream/1 HTTP/1.0\r\nHost: x.example\r\nId: r1\r\n"+
				"Patience: 1500\r\nContent-Length: 4\r\n\r\nbody")
			assert.NilError(t, err)
			text, err := io.ReadAll(conn)
			assert.Equal(t, err == nil, c.complete, "%q %v", text, err)
			assert.Assert(t, !c.complete || strings.HasSuffix(string(text), c.body), "%q", text)
		})
	}
}
