package answerer

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

const (
	// upstreamFields are the fields by which a response belongs to its request and comes from an upstream.
	upstreamFields = "\r\nId: ID\r\nSeal: s\r\n"
	wholeBody      = "Content-Length: 5\r\n\r\nwhole"
)

// assertRefused sends a request to an upstream with a broken response, of which nothing may be delivered. 504 would mean
// that only the deadline ended the request.
func assertRefused(t *testing.T, path, response string) {
	t.Helper()
	for _, forwarded := range []bool{false, true} {
		vm, home := startPath(t, forwarded)
		home.setUpstreams(startUpstream(t, rawResponse(response, true)))
		got := vm.send(t, path, "r1")
		assert.Equal(t, got.status, http.StatusBadGateway, "forwarded %v: %q", forwarded, got.body)
	}
}

// assertDelivered sends a request that is answered with a sound response, whose body is "whole".
func assertDelivered(t *testing.T, response string) {
	t.Helper()
	vm := newTestVM(t, "north")
	vm.setDocument(nil)
	vm.setUpstreams(startUpstream(t, rawResponse(response, false)))
	got := vm.send(t, "/unsafe/1", "r1")
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, "whole")
}

// assertRetried sends safe requests to two upstreams, of which the first to be asked sends a broken response.
func assertRetried(t *testing.T, response string) {
	t.Helper()
	var requests atomic.Int64
	broken, complete := rawResponse(response, true), rawResponse(completeResponse, true)
	respond := func(conn net.Conn, request *http.Request) bool {
		if requests.Add(1) == 1 {
			return broken(conn, request)
		}
		return complete(conn, request)
	}
	vm := newTestVM(t, "north")
	vm.setDocument(nil)
	vm.setUpstreams(startUpstream(t, respond), startUpstream(t, respond))
	assert.Equal(t, vm.send(t, "/safe/1", "r1").body, "whole")
	assert.Equal(t, requests.Load(), int64(2))
}

// Guards against a status code outside the range of the protocol being skipped like an informational response: the bytes
// after its head were read as the next head, and the caller waited for them until its deadline.
func TestInvalidStatusIsNoResponse(t *testing.T) {
	forged := "HTTP/1.1 200 OK" + upstreamFields + "Content-Length: 6\r\n\r\nforged"
	for _, status := range []string{"000", "099", "+99", "101", "600"} {
		for name, rest := range map[string]string{
			"length":       wholeBody,
			"no length":    "\r\nwhole",
			"chunks":       "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
			"no body":      "Content-Length: 0\r\n\r\n",
			"head in body": fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(forged), forged),
			"head follows": "\r\n" + forged,
			"refusal":      "Refused: 1\r\nContent-Length: 0\r\n\r\n",
		} {
			t.Run(status+", "+name, func(t *testing.T) {
				t.Parallel()
				assertRefused(t, "/unsafe/1", "HTTP/1.1 "+status+" Trouble"+upstreamFields+rest)
			})
		}
	}
	for _, path := range []string{"/safe/1", "/stream/1"} {
		t.Run(path, func(t *testing.T) {
			assertRefused(t, path, "HTTP/1.1 000 Trouble"+upstreamFields+wholeBody)
		})
	}
	t.Run("retried", func(t *testing.T) {
		assertRetried(t, "HTTP/1.1 000 Trouble"+upstreamFields+wholeBody)
	})
	t.Run("informational heads are skipped", func(t *testing.T) {
		informational := "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\nA: b\r\n\r\nHTTP/1.1 199 Odd\r\n\r\n"
		assertDelivered(t, informational+"HTTP/1.1 200 OK"+upstreamFields+wholeBody)
	})
}

// Guards against a head in which the name of a field is no token: such a field was left out, and with it the length or the
// chunks that it stated.
func TestFieldNameThatIsNoTokenIsNoResponse(t *testing.T) {
	for name, field := range map[string]string{
		"blank at the end": "X-A : 1", "blank inside": "X A: 1", "tab at the end": "X-A\t: 1", "tab inside": "X\tA: 1", "no name": ": 1",
		"null": "X\x00A: 1", "control": "X\x01A: 1", "delete": "X\x7fA: 1", "return": "X\rA: 1", "return at the end": "X-A\r: 1",
		"vertical tab": "X\vA: 1", "not ASCII": "X\x80A: 1", "delimiter": "X(A: 1", "length": "Content-Length : 3",
		"chunks": "Transfer-Encoding : chunked", "connection": "Connection : close", "no colon": "X-A",
	} {
		for place, response := range map[string]string{
			"success":       "HTTP/1.1 200 OK" + upstreamFields + "FIELD\r\n" + wholeBody,
			"first field":   "HTTP/1.1 200 OK\r\nFIELD" + upstreamFields + wholeBody,
			"no length":     "HTTP/1.1 200 OK" + upstreamFields + "FIELD\r\n\r\nwhole",
			"failure":       "HTTP/1.1 400 Bad" + upstreamFields + "FIELD\r\n" + wholeBody,
			"refusal":       "HTTP/1.1 503 Full" + upstreamFields + "Refused: 1\r\nFIELD\r\n" + wholeBody,
			"informational": "HTTP/1.1 103 Early Hints\r\nFIELD\r\n\r\nHTTP/1.1 200 OK" + upstreamFields + wholeBody,
			"trailer":       "HTTP/1.1 200 OK" + upstreamFields + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\nFIELD\r\n\r\n",
			"other trailer": "HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nFIELD\r\n\r\nHTTP/1.1 200 OK" + upstreamFields + wholeBody,
			"other request": "HTTP/1.1 200 OK\r\nId: other\r\nFIELD\r\n" + wholeBody + "HTTP/1.1 200 OK" + upstreamFields + wholeBody,
		} {
			t.Run(name+", "+place, func(t *testing.T) {
				t.Parallel()
				assertRefused(t, "/unsafe/1", strings.ReplaceAll(response, "FIELD", field))
			})
		}
	}
	t.Run("retried", func(t *testing.T) {
		assertRetried(t, "HTTP/1.1 200 OK"+upstreamFields+"X-A : 1\r\n"+wholeBody)
	})
	t.Run("tokens are taken", func(t *testing.T) {
		const tokens = "x!#$%&'*+-.^_`|~9: a : b\r\nX-A:\t 1\r\nX-Empty:\r\n"
		assertDelivered(t, "HTTP/1.1 103 Early Hints\r\n"+tokens+"\r\nHTTP/1.1 200 OK"+upstreamFields+tokens+wholeBody)
		assertDelivered(t, "HTTP/1.1 200 OK"+upstreamFields+"Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n"+tokens+"\r\n")
	})
}
