package main

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiaspread.example/sequoia/loader"
	"sequoiaspread.example/sequoia/orderer"
	"sequoiaspread.example/sequoia/reporter"
	"sequoiaspread.example/sequoia/reportserver"
)

func stubEngine(t *testing.T, handler http.HandlerFunc) netip.AddrPort {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
}

func collectReplies(replies *[]orderer.OrderReply) func(orderer.Message) []orderer.Effect {
	return func(m orderer.Message) []orderer.Effect {
		*replies = append(*replies, m.(orderer.OrderReply))
		return nil
	}
}

func TestMatrix(t *testing.T) {
	t.Run("orders/send/hang-and-resume", func(t *testing.T) {
		received := 0
		engine := stubEngine(t, func(http.ResponseWriter, *http.Request) { received++ })
		var replies []orderer.OrderReply
		sender := newOrderSender(collectReplies(&replies))
		sender.send(context.Background(), engine, orderer.Send{ID: "late", Deadline: time.Now().Add(-time.Millisecond)})
		assert.Equal(t, received, 0, "an order was sent after its deadline")
		assert.Equal(t, replies[0].Result, orderer.ResultFailed)
	})
	t.Run("orders/send/silent-connection", func(t *testing.T) {
		release := make(chan struct{})
		engine := stubEngine(t, func(http.ResponseWriter, *http.Request) { <-release })
		var replies []orderer.OrderReply
		sender := newOrderSender(collectReplies(&replies))
		start := time.Now()
		sender.send(context.Background(), engine, orderer.Send{ID: "silent", Deadline: start.Add(100 * time.Millisecond)})
		close(release)
		assert.Assert(t, time.Since(start) < orderer.DefaultSendTimeout)
		assert.Equal(t, replies[0].Result, orderer.ResultFailed)
	})
	t.Run("orders/send/cut", func(t *testing.T) {
		started := make(chan struct{})
		release := make(chan struct{})
		engine := stubEngine(t, func(http.ResponseWriter, *http.Request) {
			close(started)
			<-release
		})
		var replies []orderer.OrderReply
		sender := newOrderSender(collectReplies(&replies))
		go func() {
			<-started
			sender.cancelAll()
		}()
		sender.send(context.Background(), engine, orderer.Send{ID: "lost lease", Deadline: time.Now().Add(time.Minute)})
		close(release)
		assert.Equal(t, replies[0].Result, orderer.ResultFailed)
	})
	t.Run("orders/send/late-message", func(t *testing.T) {
		engine := stubEngine(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusConflict) })
		var replies []orderer.OrderReply
		sender := newOrderSender(collectReplies(&replies))
		sender.send(context.Background(), engine, orderer.Send{ID: "old", Deadline: time.Now().Add(time.Minute)})
		assert.Equal(t, replies[0].Result, orderer.ResultStaleFencingToken)
	})
}

// Guards against a burn history that a restart loses, and against counting a resent bucket twice.
func TestReportsSurviveRestart(t *testing.T) {
	n := &node{settings: &loader.Settings{DataFolder: filepath.Join(t.TempDir(), "data")}}
	now := time.Now().UTC().Truncate(time.Minute)
	report := reportserver.Report{VM: "a-1", Demands: []reportserver.Demand{{Model: "m", Rate: 5}}}
	report.Buckets = append(report.Buckets, reporter.Bucket{VM: "a-1", Start: now, Good: 3}, reporter.Bucket{VM: "a-1", Start: now.Add(-2 * reporter.BudgetPeriod), Good: 9})
	for range 2 {
		r, stop := startReportStore(t, n)
		assert.NilError(t, r.Append(now, report))
		assert.Equal(t, r.demand(now)["m"], 5.0)
		assert.Equal(t, len(r.demand(now.Add(time.Hour))), 0)
		stop()
	}
	r, stop := startReportStore(t, n)
	defer stop()
	assert.NilError(t, r.expire(now))
	list, err := r.buckets()
	assert.NilError(t, err)
	assert.Equal(t, len(list), 1)
}

func startReportStore(t *testing.T, n *node) (*reportStore, func()) {
	t.Helper()
	r := newReportStore(n)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- r.run(ctx) }()
	<-r.opened
	return r, func() {
		cancel()
		assert.NilError(t, <-done)
	}
}
