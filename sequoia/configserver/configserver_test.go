package configserver

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/netip"
	"testing"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"sequoiaspread.example/sequoia/messenger"
	"sequoiaspread.example/sequoia/promoter"
)

// stubService returns fixed values and records the polls.
type stubService struct {
	polls []Poll
}

func (s *stubService) Configuration(poll Poll) Update {
	s.polls = append(s.polls, poll)
	return Update{Version: 3, Text: []byte("three"), Newer: poll.Have < 3, ViewsRevision: 1, Views: []promoter.View{{Zone: "z", Number: 1}}}
}

func (s *stubService) Promote(_ context.Context, promotion Promotion) (promoter.Outcome, error) {
	return promoter.Outcome{Result: promoter.ResultConflict, Winner: &promoter.Promotion{RequestID: promotion.RequestID}}, nil
}

func (s *stubService) Status() Status                { return Status{Member: "a#1"} }
func (s *stubService) History() []promoter.Promotion { return nil }

func startServer(t *testing.T, handler messenger.Handler) (*messenger.Pool, netip.AddrPort) {
	t.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	server := messenger.NewServer(messenger.ServerConfig{Handler: handler, Logger: logger})
	go func() { done <- server.Serve(ctx, listener) }()
	pool := messenger.NewPool(messenger.PoolConfig{Logger: logger})
	t.Cleanup(func() {
		assert.Check(t, pool.Close())
		cancel()
		assert.Check(t, <-done)
	})
	return pool, netip.MustParseAddrPort(listener.Addr().String())
}

// Guards against a client that gives up at the first unreachable controller, a handler that sends a document that the
// poller already has, and fields that are lost on the wire.
func TestClient(t *testing.T) {
	service := &stubService{}
	pool, address := startServer(t, NewHandler(service))
	client := NewClient(pool, []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1"), address})
	ctx := context.Background()
	poll := Poll{VM: "v", Zone: "z", Have: 2, HaveViews: 7}
	update, err := client.Fetch(ctx, poll)
	assert.NilError(t, err)
	assert.DeepEqual(t, update, Update{Version: 3, Text: []byte("three"), Newer: true, ViewsRevision: 1, Views: []promoter.View{{Zone: "z", Number: 1}}})
	assert.DeepEqual(t, service.polls, []Poll{poll})
	assert.Equal(t, client.controllers[0], address)
	update, err = client.Fetch(ctx, Poll{Have: 3})
	assert.NilError(t, err)
	assert.Assert(t, !update.Newer && update.Text == nil)
	outcome, err := client.Promote(ctx, Promotion{Version: 3, RequestID: "r"})
	assert.NilError(t, err)
	assert.Equal(t, outcome.Winner.RequestID, "r")
	status, err := client.Status(ctx)
	assert.NilError(t, err)
	assert.Equal(t, status.Member, "a#1")
	_, err = client.History(ctx)
	assert.NilError(t, err)
}

// Guards against a promotion without a request id, which could not be resent safely, and against errors without their
// kind.
func TestClientErrors(t *testing.T) {
	pool, address := startServer(t, NewHandler(&stubService{}))
	var failure *Error
	_, err := NewClient(pool, []netip.AddrPort{address}).Promote(context.Background(), Promotion{})
	assert.Assert(t, errors.As(err, &failure) && failure.Kind == KindRefused)
	_, err = NewClient(pool, nil).Fetch(context.Background(), Poll{})
	assert.Assert(t, errors.As(err, &failure) && failure.Kind == KindUnreachable)
}

// FuzzHandler guards against parameters that make a controller panic.
func FuzzHandler(f *testing.F) {
	f.Add("configuration", []byte(`{"vm":"v","zone":"z","have-version":1}`))
	f.Add("promote", []byte(`{"version":2,"document":"eA==","operator":"o","request-id":"r"}`))
	f.Add("status", []byte(`null`))
	f.Fuzz(func(t *testing.T, method string, params []byte) {
		_, err := NewHandler(&stubService{}).Handle(context.Background(), method, json.RawMessage(params))
		var refused *messenger.RemoteError
		assert.Assert(t, err == nil || errors.As(err, &refused))
	})
}
