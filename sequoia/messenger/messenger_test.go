package messenger

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

func quietLogger() logrus.FieldLogger {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return logger
}

func serve(t *testing.T, handler HandlerFunc) (*Server, netip.AddrPort) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := NewServer(ServerConfig{Handler: handler, Logger: quietLogger()})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.Serve(ctx, listener) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
	})
	return server, netip.MustParseAddrPort(listener.Addr().String())
}

func newTestClient(t *testing.T, address netip.AddrPort) *Client {
	t.Helper()
	client := NewClient(ClientConfig{Address: address, Logger: quietLogger()})
	t.Cleanup(func() { assert.NilError(t, client.Close()) })
	return client
}

func kindOf(err error) Kind {
	var callErr *Error
	if errors.As(err, &callErr) {
		return callErr.Kind
	}
	return ""
}

// Guards against confusing a refused connection, an error reply and a lost reply: only after a refused connection is
// the call safe to retry.
func TestErrorKinds(t *testing.T) {
	server, address := serve(t, func(_ context.Context, method string, params json.RawMessage) (any, error) {
		switch method {
		case "echo":
			return Decode[string](params)
		case "panic":
			panic("broken handler")
		}
		return nil, MethodNotFound(method)
	})
	client := newTestClient(t, address)
	var reply string
	assert.NilError(t, client.Call(context.Background(), "echo", "hello", &reply))
	assert.Equal(t, reply, "hello")
	assert.Equal(t, kindOf(client.Call(context.Background(), "echo", 3, nil)), KindRemote)
	assert.Equal(t, kindOf(client.Call(context.Background(), "unknown", nil, nil)), KindRemote)
	assert.Equal(t, kindOf(client.Call(context.Background(), "panic", nil, nil)), KindRemote)
	assert.Equal(t, server.InvalidCalls(), uint64(2))
	refused := newTestClient(t, netip.MustParseAddrPort("127.0.0.1:1"))
	assert.Equal(t, kindOf(refused.Call(context.Background(), "echo", "hello", nil)), KindNotSent)
}

// Guards against calls that wait forever on an open connection that passes no bytes, and against treating this as a
// failure of the peer: the next call has to open a new connection.
func TestMatrixSilentConnection(t *testing.T) {
	var blackhole atomic.Bool
	blackhole.Store(true)
	_, target := serve(t, func(context.Context, string, json.RawMessage) (any, error) { return "ok", nil })
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	relayDone := make(chan struct{})
	go func() {
		defer close(relayDone)
		relay(ctx, listener, target, &blackhole)
	}()
	t.Cleanup(func() {
		cancel()
		_ = listener.Close()
		<-relayDone
	})
	client := newTestClient(t, netip.MustParseAddrPort(listener.Addr().String()))
	start := time.Now()
	err = client.Call(context.Background(), "anything", nil, nil)
	assert.Equal(t, kindOf(err), KindLost)
	maxWait := keepaliveInterval + keepaliveTimeout + time.Second
	assert.Assert(t, time.Since(start) < maxWait, "took %v", time.Since(start))
	blackhole.Store(false)
	assert.NilError(t, client.Call(context.Background(), "anything", nil, nil))
}

// relay forwards connections accepted while blackhole is false and discards the bytes of the others.
func relay(ctx context.Context, listener net.Listener, target netip.AddrPort, blackhole *atomic.Bool) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		context.AfterFunc(ctx, func() { _ = conn.Close() })
		if blackhole.Load() {
			go func() { _, _ = io.Copy(io.Discard, conn) }()
			continue
		}
		upstream, err := net.Dial("tcp", target.String())
		if err != nil {
			return
		}
		context.AfterFunc(ctx, func() { _ = upstream.Close() })
		go func() { _, _ = io.Copy(upstream, conn) }()
		go func() { _, _ = io.Copy(conn, upstream) }()
	}
}

// Guards against a graceful stop that interrupts a call in progress, and against calls that start while the server
// drains. An earlier drain with a wait group had a data race with new calls.
func TestMatrixPlannedStop(t *testing.T) {
	t.Run("planned-stop/call/restart", func(t *testing.T) {
		started := make(chan struct{})
		release := make(chan struct{})
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		server := NewServer(ServerConfig{Logger: quietLogger(), Handler: HandlerFunc(func(_ context.Context, method string, _ json.RawMessage) (any, error) {
			if method == "slow" {
				close(started)
				<-release
			}
			return "whole", nil
		})})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- server.Serve(ctx, listener) }()
		client := newTestClient(t, netip.MustParseAddrPort(listener.Addr().String()))
		replies := make(chan error, 1)
		go func() { replies <- client.Call(context.Background(), "slow", nil, nil) }()
		<-started
		cancel()
		for range 100 {
			_ = client.Call(context.Background(), "quick", nil, nil)
		}
		close(release)
		assert.NilError(t, <-replies)
		assert.NilError(t, <-done)
	})
}

// Guards against malformed or endless messages that crash the server or exhaust its memory.
func TestInvalidInput(t *testing.T) {
	_, address := serve(t, func(context.Context, string, json.RawMessage) (any, error) { return "ok", nil })
	for _, input := range []string{"garbage\r\n\r\n", "Content-Length: -1\r\n\r\n", "Content-Length: 5\r\n\r\n{{{{{", "Content-Length: 99999999999\r\n\r\n\""} {
		conn, err := net.Dial("tcp", address.String())
		assert.NilError(t, err)
		_, err = io.WriteString(conn, input)
		assert.NilError(t, err)
		assert.NilError(t, conn.Close())
	}
	client := newTestClient(t, address)
	assert.NilError(t, client.Call(context.Background(), "anything", nil, nil))
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"a":1}`))
	f.Fuzz(func(t *testing.T, params []byte) {
		_, err := Decode[map[string]int](params)
		var remote *RemoteError
		assert.Assert(t, err == nil || errors.As(err, &remote))
	})
}
