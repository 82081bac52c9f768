package answerer

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a refusal whose body never ends keeping its request from another upstream until the deadline.
func TestRefusalWithoutEndIsRetriedAtOnce(t *testing.T) {
	for name, fields := range map[string]string{
		"length":    "Content-Length: 100\r\n\r\nfull",
		"chunks":    "Transfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n",
		"no length": "\r\nfull",
	} {
		t.Run(name, func(t *testing.T) {
			vm := newTestVM(t, "north")
			vm.setDocument(nil)
			full := startUpstream(t, rawResponse("HTTP/1.1 503 Full\r\nId: ID\r\nRefused: 1\r\n"+fields, true))
			vm.setUpstreams(full, startUpstream(t, rawResponse(completeResponse, true)))
			for i := 0; i < 100 && full.requests.Load() == 0; i++ {
				began := time.Now()
				assert.Equal(t, vm.send(t, "/unsafe/1", fmt.Sprint("r", i)).status, http.StatusOK)
				assert.Assert(t, time.Since(began) < 500*time.Millisecond, "objective of the route: %v", time.Since(began))
			}
			assert.Assert(t, full.requests.Load() > 0)
		})
	}
}

// maxEndlessBytes is where an endless upstream of a test stops writing, so that a VM without a limit fails the test
// instead of filling the memory; the kernel takes up to maxKernelBytes without this process reading them.
const (
	maxEndlessBytes = 64 << 20
	maxKernelBytes  = 16 << 20
	// answerTime is the deadline of send and the half second by which an answer at the deadline may be late.
	answerTime = 2 * time.Second
)

// endlessResponse writes a start and then repeats a piece until the connection is closed.
func endlessResponse(written *atomic.Int64, start, piece string) responder {
	return func(conn net.Conn, request *http.Request) bool {
		_, _ = io.WriteString(conn, strings.ReplaceAll(start, "ID", request.Header.Get("Id")))
		block := strings.Repeat(piece, max(1, 32<<10/len(piece)))
		sent := 0
		for sent < maxEndlessBytes {
			n, err := io.WriteString(conn, block)
			sent += n
			written.Add(int64(n))
			if err != nil {
				return false
			}
		}
		// The VM must close the connection.
		_, _ = io.Copy(io.Discard, conn)
		return false
	}
}

// Guards against bytes that are no answer, without end, being kept or passed on as an answer, and against a request
// that waits for them until its deadline.
func TestAnswerWithoutEndIsBounded(t *testing.T) {
	const (
		sealed     = "HTTP/1.1 200 OK\r\nId: ID\r\nSeal: s\r\n"
		smallChunk = "1\r\nx\r\n"
	)
	for name, parts := range map[string][3]string{
		"no answer":          {"unsafe", "", "x"},
		"head":               {"unsafe", sealed, "A: b\r\n"},
		"informational":      {"unsafe", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"body, no length":    {"unsafe", sealed + "\r\n", "x"},
		"body, long length":  {"unsafe", sealed + "Content-Length: 9000000000\r\n\r\n", "x"},
		"body, chunks":       {"unsafe", sealed + "Transfer-Encoding: chunked\r\n\r\n", smallChunk},
		"chunk size":         {"unsafe", sealed + "Transfer-Encoding: chunked\r\n\r\n", "0"},
		"chunk extension":    {"unsafe", sealed + "Transfer-Encoding: chunked\r\n\r\n1;", "x"},
		"trailer":            {"unsafe", sealed + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n"},
		"failure":            {"unsafe", "HTTP/1.1 500 Failed\r\nId: ID\r\nSeal: s\r\n\r\n", "x"},
		"stream, head":       {"stream", "", "HTTP/1.1 100 Continue\r\n\r\n"},
		"stream, one line":   {"stream", sealed + "\r\n", "x"},
		"stream, lines":      {"stream", sealed + "\r\n", "data: x\n"},
		"stream, empty":      {"stream", sealed + "\r\n", "\n"},
		"stream, chunks":     {"stream", sealed + "Transfer-Encoding: chunked\r\n\r\n", smallChunk},
		"answer to another":  {"unsafe", "HTTP/1.1 200 OK\r\nId: other\r\nSeal: s\r\n\r\n", "x"},
		"answers to another": {"unsafe", "", "HTTP/1.1 200 OK\r\nId: other\r\nSeal: s\r\nContent-Length: 1\r\n\r\nx"},
	} {
		t.Run(name, func(t *testing.T) {
			var written atomic.Int64
			vm := newTestVM(t, "north")
			vm.setDocument(nil)
			u := startUpstream(t, endlessResponse(&written, parts[1], parts[2]))
			vm.setUpstreams(u)
			began := time.Now()
			got := vm.send(t, "/"+parts[0]+"/1", "r1")
			// 504 would mean that only the deadline ended the request.
			slow := parts[2] == smallChunk && got.status == http.StatusGatewayTimeout
			assert.Assert(t, slow || got.status == http.StatusBadGateway, "status %d", got.status)
			assert.Assert(t, time.Since(began) < answerTime, "%v", time.Since(began))
			// A chunk of one byte takes six on the wire, of which the VM keeps one.
			limit := int64(maxKernelBytes)
			if parts[2] == smallChunk {
				limit += maxResponseBytes * int64(len(smallChunk))
			}
			assert.Assert(t, written.Load() <= limit, "%d bytes", written.Load())
		})
	}
}

// Guards against a safe request that is not sent again after bytes without end, and against the connection that they
// came on being used again.
func TestSafeRequestIsRetriedAfterAnswerWithoutEnd(t *testing.T) {
	const sealed = "HTTP/1.1 200 OK\r\nId: ID\r\nSeal: s\r\n"
	for name, start := range map[string]string{
		"no answer": "", "no length": sealed + "\r\n", "length": sealed + "Content-Length: 9000000000\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			var written, requests atomic.Int64
			endless, complete := endlessResponse(&written, start, "x"), rawResponse(completeResponse, true)
			respond := func(conn net.Conn, request *http.Request) bool {
				if requests.Add(1) == 1 {
					return endless(conn, request)
				}
				return complete(conn, request)
			}
			vm := newTestVM(t, "north")
			vm.setDocument(nil)
			vm.setUpstreams(startUpstream(t, respond), startUpstream(t, respond))
			for i := range 3 {
				assert.Equal(t, vm.send(t, "/safe/1", fmt.Sprint("r", i)).body, "whole")
			}
			assert.Equal(t, requests.Load(), int64(4))
		})
	}
}

// Guards against a stream of events without end that outlasts its deadline, or ends there as if it were complete.
func TestEventsWithoutEndAreCutAtDeadline(t *testing.T) {
	vm := newTestVM(t, "north")
	vm.setDocument(nil)
	ended := make(chan struct{})
	vm.setUpstreams(startUpstream(t, func(conn net.Conn, _ *http.Request) bool {
		defer close(ended)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: r1\r\nSeal: s\r\n\r\n")
		ticker := time.NewTicker(10 * time.Millisecond)
		defer ticker.Stop()
		for range ticker.C {
			if _, err := io.WriteString(conn, "data: x\n\n"); err != nil {
				return false
			}
		}
		return false
	}))
	began := time.Now()
	got := vm.send(t, "/stream/1", "r1")
	assert.Assert(t, got.err != nil, "the stream ended as if it were complete")
	assert.Assert(t, time.Since(began) < answerTime, "%v", time.Since(began))
	select {
	case <-ended:
	case <-time.After(time.Second):
		t.Fatal("the connection to the upstream was not closed")
	}
}
