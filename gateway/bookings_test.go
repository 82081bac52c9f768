package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
	"sequoiaspread.example/sequoia/classifier"
)

func (f *fleet) book(g *testGateway, key string) *http.Response {
	return f.send("POST", g.url("/services/core/bookings"), "bay 4", headerIdempotencyKey, key)
}

// truncateResponse sends a part of a response and then closes the connection.
func truncateResponse(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "100")
	_, _ = io.WriteString(w, "half")
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// testBookings guards against reporting a booking as not run although it may have run, and against running it twice.
func testBookings(t *testing.T) {
	cases := []struct {
		name     string
		execute  http.HandlerFunc
		arrange  func(f *fleet)
		outcome  classifier.Outcome
		executed int32
	}{
		{name: "send/upstream-crash", execute: abortConnection, outcome: "unknown", executed: 1},
		{name: "answer/upstream-crash", execute: truncateResponse, outcome: "ran", executed: 1},
		{name: "answer/upstream-crash-in-failure", execute: truncateFailure, outcome: "ran", executed: 1},
		{name: "answer/time-limit", execute: func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, outcome: "unknown", executed: 1},
		{name: "send/upstream-leaving", execute: respondDraining, outcome: "not-run", executed: 1},
		{name: "begin/records-unreachable", execute: abortConnection, arrange: func(f *fleet) { f.records.unreachable = true }, outcome: "unknown", executed: 0},
		{name: "connect/refused", execute: abortConnection, arrange: func(f *fleet) { f.addUpstream("a", "plain", "plain-a", closedAddress(f.t), 2) }, outcome: "not-run", executed: 0},
	}
	for _, c := range cases {
		t.Run("not-run/"+c.name, func(t *testing.T) {
			f := newFleet(t, "", "a-1")
			var executed atomic.Int32
			f.addPlainService("a", func(w http.ResponseWriter, r *http.Request) {
				executed.Add(1)
				c.execute(w, r)
			})
			if c.arrange != nil {
				c.arrange(f)
			}
			f.start()
			p := decodeProblem(t, f.book(f.firstGateway(), "key"))
			assert.Equal(t, p.Outcome, c.outcome, p.Type)
			for range 3 {
				again := decodeProblem(t, f.book(f.firstGateway(), "key"))
				assert.Assert(t, c.outcome == "not-run" || again.Outcome != "not-run", again.Type)
			}
			assert.Equal(t, executed.Load(), c.executed)
		})
	}
	t.Run("at-most-once/send/concurrent-resends", testConcurrentBookings)
}

// testConcurrentBookings guards against running a booking twice, or never, when callers send one idempotency key
// through two gateways concurrently and disconnect.
func testConcurrentBookings(t *testing.T) {
	f := newFleet(t, "", "a-1", "a-2")
	var executed atomic.Int32
	f.addPlainService("a", func(w http.ResponseWriter, _ *http.Request) {
		executed.Add(1)
		_, _ = io.WriteString(w, "booked")
	})
	f.start()
	var sends sync.WaitGroup
	for i := range 20 {
		sends.Go(func() {
			conn, err := net.Dial("tcp", f.gateways[fmt.Sprintf("a-%d", i%2+1)].settings.CallerAddress.String())
			assert.Check(t, err)
			_, _ = io.WriteString(conn, "POST /services/core/bookings HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer demo-kiosks\r\nIdempotency-Key: key\r\nContent-Length: 0\r\n\r\n")
			_ = conn.Close()
		})
	}
	sends.Wait()
	f.waitFor("booking is recorded", func() bool {
		response := f.send("POST", f.firstGateway().url("/services/core/bookings"), "", headerIdempotencyKey, "key")
		return response.StatusCode == http.StatusOK && readAll(t, response) == "booked"
	})
	assert.Equal(t, executed.Load(), int32(1))
}
