package answerer

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// uploadBytes is more than the kernel takes from a sender whose receiver does not read.
	uploadBytes = 900 << 10
	twoEvents   = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
)

// upload sends a request whose body is still being written when an early upstream responds.
func (vm *testVM) upload(t *testing.T, path, id string) callResult {
	t.Helper()
	return vm.sendWith(t, path, id, func(request *http.Request) {
		request.Body = io.NopCloser(strings.NewReader(strings.Repeat("x", uploadBytes)))
		request.ContentLength = uploadBytes
	})
}

// resetAfter writes a response and resets the connection at once, while the request is still being written.
func resetAfter(response string) responder {
	return func(conn net.Conn, request *http.Request) bool {
		rawResponse(response, true)(conn, request)
		_ = conn.(*net.TCPConn).SetLinger(0)
		return false
	}
}

// readAfter writes a response, ends its side if halfClose is set, and reads the rest of the request some time later.
func readAfter(response string, halfClose bool) responder {
	return func(conn net.Conn, request *http.Request) bool {
		rawResponse(response, true)(conn, request)
		if halfClose {
			_ = conn.(*net.TCPConn).CloseWrite()
		}
		time.Sleep(20 * time.Millisecond)
		_, _ = io.Copy(io.Discard, request.Body)
		return false
	}
}

// readBefore reads the whole request, writes a response and closes the connection.
func readBefore(response string) responder {
	return func(conn net.Conn, request *http.Request) bool {
		_, _ = io.Copy(io.Discard, request.Body)
		return rawResponse(response, false)(conn, request)
	}
}

// uploadOnEachPath sends uploads to an early upstream through the VM that reaches it, and through one that forwards to that
// VM. The VMs are new for each upload, because an upstream that failed is avoided for some time.
func uploadOnEachPath(t *testing.T, path string, respond responder, check func(t *testing.T, got callResult)) {
	const uploads = 5
	for _, forwarded := range []bool{false, true} {
		t.Run(fmt.Sprintf("forwarded %v", forwarded), func(t *testing.T) {
			t.Parallel()
			for range uploads {
				vm, home := startPath(t, forwarded)
				home.setUpstreams(startEarlyUpstream(t, respond))
				check(t, vm.upload(t, path, "r1"))
			}
		})
	}
}

// Guards against a part of a response without a length being delivered as complete if the reset that cut it off came while
// the request was still being written: the write took the error, and the read saw an ordinary end.
func TestResetDuringUploadIsNoEnd(t *testing.T) {
	for name, c := range map[string]struct{ path, response string }{
		"unsafe":           {"/unsafe/1", "HTTP/1.1 200 OK" + upstreamFields + "\r\npart"},
		"unsafe, HTTP/1.0": {"/unsafe/1", "HTTP/1.0 200 OK" + upstreamFields + "\r\npart"},
		"unsafe, length":   {"/unsafe/1", "HTTP/1.1 200 OK" + upstreamFields + "Content-Length: 9\r\n\r\npart"},
		"unsafe, chunks":   {"/unsafe/1", "HTTP/1.1 200 OK" + upstreamFields + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"},
		"unsafe, failure":  {"/unsafe/1", "HTTP/1.1 400 Bad" + upstreamFields + "\r\npart"},
		"unsafe, after 103": {
			"/unsafe/1", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK" + upstreamFields + "\r\npart",
		},
		"safe":             {"/safe/1", "HTTP/1.1 200 OK" + upstreamFields + "\r\npart"},
		"stream":           {"/stream/1", "HTTP/1.1 200 OK" + upstreamFields + "\r\n" + twoEvents},
		"stream, HTTP/1.0": {"/stream/1", "HTTP/1.0 200 OK" + upstreamFields + "\r\n" + twoEvents},
	} {
		t.Run(name, func(t *testing.T) {
			uploadOnEachPath(t, c.path, resetAfter(c.response), func(t *testing.T, got callResult) {
				assert.Assert(t, got.err != nil || got.status == http.StatusBadGateway, "%d %q", got.status, got.body)
			})
		})
	}
}

// Guards against the refusal of a sound response that comes while the request is still being written, or that ends with
// its connection.
func TestSoundEarlyResponseIsDelivered(t *testing.T) {
	const head = "HTTP/1.1 200 OK" + upstreamFields
	for name, c := range map[string]struct {
		path    string
		respond responder
		body    string
	}{
		"length":                 {"/unsafe/1", readAfter(head+"Content-Length: 5\r\n\r\nwhole", false), "whole"},
		"chunks":                 {"/unsafe/1", readAfter(head+"Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", false), "whole"},
		"half-closed":            {"/unsafe/1", readAfter(head+"\r\nwhole", true), "whole"},
		"half-closed, after 103": {"/unsafe/1", readAfter("HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"+head+"\r\nwhole", true), "whole"},
		"closed after upload":    {"/unsafe/1", readBefore(head + "\r\nwhole"), "whole"},
		"stream, half-closed":    {"/stream/1", readAfter(head+"\r\n"+twoEvents, true), twoEvents},
		"stream, chunks":         {"/stream/1", readAfter(head+"Transfer-Encoding: chunked\r\n\r\n1e\r\n"+twoEvents+"\r\n0\r\n\r\n", false), twoEvents},
		"stream, closed":         {"/stream/1", readBefore(head + "\r\n" + twoEvents), twoEvents},
	} {
		t.Run(name, func(t *testing.T) {
			uploadOnEachPath(t, c.path, c.respond, func(t *testing.T, got callResult) {
				assert.NilError(t, got.err)
				assert.Equal(t, got.status, http.StatusOK)
				assert.Equal(t, got.body, c.body)
			})
		})
	}
}
