package main

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// repeatReader repeats a piece up to a size and counts what was read.
type repeatReader struct {
	piece string
	read  int
	size  int
}

// Read returns the next bytes.
func (r *repeatReader) Read(buffer []byte) (int, error) {
	if r.read >= r.size {
		return 0, io.EOF
	}
	for i := range buffer {
		buffer[i] = r.piece[(r.read+i)%len(r.piece)]
	}
	r.read += len(buffer)
	return len(buffer), nil
}

// Guards against an event of many short lines, or lines that hold no event, being read without limit.
func TestEventWithoutEndIsRefused(t *testing.T) {
	for name, piece := range map[string]string{
		"data lines": "data: x\n", "one line": "x", "comments": ": x\n", "empty lines": "\n", "comment events": ": x\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			reader := &repeatReader{piece: piece, size: 64 << 20}
			_, err := newEventReader(reader).next()
			assert.Assert(t, err != nil)
			assert.Assert(t, !errors.Is(err, io.EOF), "read to its end")
			// The buffer may hold as much again.
			assert.Assert(t, reader.read <= 2*maxEventBytes, "%d bytes", reader.read)
		})
	}
}

// Guards against an event that was cut off being passed on.
func TestCutEventIsNotReturned(t *testing.T) {
	reader := newEventReader(strings.NewReader("id: 1\ndata: a\n\nid: 2\ndata: b\n"))
	first, err := reader.next()
	assert.NilError(t, err)
	assert.Equal(t, string(first.data), "a")
	_, err = reader.next()
	assert.Assert(t, err != nil)
}

// Guards against a failure response of a plain service that is passed on as complete although its end is missing.
func TestLongFailureResponseIsPassedOnWhole(t *testing.T) {
	f := newFleet(t, "", "a-1")
	whole := strings.Repeat("x", 2*maxErrorBytes)
	f.addPlainService("a", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, whole)
	})
	f.start()
	response := f.book(f.firstGateway(), "key")
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, len(readAll(t, response)), len(whole))
}

// Guards against heads of upstreams, or informational responses before them, that are kept up to 10 MiB each.
func TestHeadWithoutEndIsRefused(t *testing.T) {
	for name, parts := range map[string][2]string{
		"header fields": {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		"informational": {"", "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			const size = 1 << 20
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer func() { _ = listener.Close() }()
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				_, _ = http.ReadRequest(bufio.NewReader(conn))
				_, _ = io.WriteString(conn, parts[0]+strings.Repeat(parts[1], size/len(parts[1])))
				if parts[0] == "" {
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n")
				}
				_, _ = io.WriteString(conn, "Content-Length: 0\r\n\r\n")
				_, _ = io.Copy(io.Discard, conn)
			}()
			request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+listener.Addr().String(), nil)
			assert.NilError(t, err)
			client := newUpstreamClient((&net.Dialer{}).DialContext)
			defer client.closeIdle()
			response, err := client.shared.RoundTrip(request)
			if err == nil {
				_ = response.Body.Close()
			}
			assert.Assert(t, err != nil, "a head of %d bytes is read", size)
		})
	}
}

// Guards against a polled document that is cut at the size limit being used as if it were whole.
func TestPolledDocumentWithoutEndIsNotUsed(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("# x\n", maxPollBytes/2))
	}))
	defer server.Close()
	client := newUpstreamClient((&net.Dialer{}).DialContext)
	defer client.closeIdle()
	text, _, err := (&gateway{}).httpGet(t.Context(), client.shared, serverAddress(server.URL), "/metrics", "")
	assert.Assert(t, err != nil, "%d bytes are used", len(text))
}
