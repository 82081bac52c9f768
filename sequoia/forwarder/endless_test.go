package forwarder

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// maxEndlessBytes is where an endless upstream of a test stops writing, so that a client without a limit fails the
	// test instead of filling the memory.
	maxEndlessBytes = 64 << 20
	// maxKernelBytes is what the kernel may take from an upstream without this process reading it.
	maxKernelBytes = 16 << 20
	// endlessAnswerTime is far below the 2 s deadline of send: bytes that are no response are noticed by their number.
	endlessAnswerTime = time.Second
)

// endlessUpstream writes a start and then repeats a piece until its connection is closed.
type endlessUpstream struct {
	address     netip.AddrPort
	written     atomic.Int64
	connections atomic.Int64
	closed      chan struct{}
}

func startEndless(t *testing.T, start, piece string) *endlessUpstream {
	t.Helper()
	u := &endlessUpstream{closed: make(chan struct{}, 16)}
	u.address = startUpstream(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
		u.connections.Add(1)
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		defer func() { u.closed <- struct{}{} }()
		u.write(conn, start, piece)
		// The client must close the connection.
		_, _ = io.Copy(io.Discard, conn)
	})
	return u
}

func (u *endlessUpstream) write(conn net.Conn, start, piece string) {
	_, _ = io.WriteString(conn, start)
	block := strings.Repeat(piece, max(1, 32<<10/len(piece)))
	for u.written.Load() < maxEndlessBytes {
		n, err := io.WriteString(conn, block)
		u.written.Add(int64(n))
		if err != nil {
			return
		}
	}
}

func (u *endlessUpstream) assertClosed(t *testing.T) {
	t.Helper()
	select {
	case <-u.closed:
	case <-time.After(time.Second):
		t.Fatal("the connection was not closed")
	}
	assert.Assert(t, u.written.Load() < maxEndlessBytes, "the upstream could write %d bytes", u.written.Load())
}

// Guards against a head without end filling the memory until the deadline.
func TestEndlessHeadIsRefused(t *testing.T) {
	for name, parts := range map[string][2]string{
		"no answer":     {"", "x"},
		"empty lines":   {"", "\r\n"},
		"status line":   {"HTTP/1.1 200 ", "x"},
		"header field":  {"HTTP/1.1 200 OK\r\nLong: ", "x"},
		"header fields": {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		"continuation":  {"HTTP/1.1 200 OK\r\nA: b\r\n", " c\r\n"},
		"informational": {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"early hints":   {"", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			u := startEndless(t, parts[0], parts[1])
			began := time.Now()
			_, err := send(New(Config{}), u.address, nil)
			assert.Assert(t, err != nil)
			assert.Assert(t, errorKind(err) != KindNotSent)
			u.assertClosed(t)
			assert.Assert(t, u.written.Load() <= maxKernelBytes, "%d bytes", u.written.Load())
			assert.Assert(t, time.Since(began) < endlessAnswerTime, "%v", time.Since(began))
		})
	}
}

// Guards against the rest of a long response to another request being read as the response to this one.
func TestLongSkippedResponseIsNotParsedAsResponse(t *testing.T) {
	forged := "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 6\r\n\r\nforged"
	address := startUpstream(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 4194304\r\n\r\n")
		_, _ = io.WriteString(conn, strings.Repeat("x", maxSkippedBytes)+forged)
		_, _ = io.Copy(io.Discard, conn)
	})
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	matches := func(header http.Header) bool { return header.Get("Id") == "mine" }
	_, err := New(Config{}).Do(ctx, address, Request{Method: http.MethodGet, Target: "/", Host: "x", Matches: matches})
	assert.Equal(t, errorKind(err), KindMismatchedResponse)
}
