package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"sequoiaspread.example/sequoia/classifier"
)

func (f *fleet) book(g *testGateway, key string) *http.Response {
	return f.send("POST", g.url("/services/core/bookings"), "bay 4", headerIdempotencyKey, key)
}

func abortConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// truncateResponse sends a part of a response and then closes the connection.
func truncateResponse(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "100")
	_, _ = io.WriteString(w, "half")
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// truncateFailure sends a part of a 503 and then closes the connection.
func truncateFailure(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Length", "100")
	w.WriteHeader(http.StatusServiceUnavailable)
	truncateResponse(w, r)
}

func respondDraining(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusServiceUnavailable)
	_, _ = io.WriteString(w, `{"state":"leaving"}`)
}

// closedAddress returns an address without a listener.
func closedAddress(t testing.TB) netip.AddrPort {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	return netip.MustParseAddrPort(listener.Addr().String())
}

// TestMatrix verifies the guarantees of the gateway with a fault injected at each step.
func TestMatrix(t *testing.T) {
	testBookings(t)
	testStreams(t)
	t.Run("no-loops", testHops)
	t.Run("residency", testResidency)
	t.Run("leaving", testDrainingUpstream)
	t.Run("planned-stop", testGracefulDrain)
	t.Run("retries", testRetries)
	t.Run("configuration", testConfiguration)
	t.Run("cut-off", testPartition)
	t.Run("crashing-request", testCrashingRequest)
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

// breakAfter sends some tokens of the first attempt and then closes the connection.
func breakAfter(sent int) func(http.ResponseWriter, *http.Request, int) bool {
	return func(w http.ResponseWriter, _ *http.Request, attempt int) bool {
		if attempt > 1 {
			return false
		}
		sendTokens(w, 0, sent)
		panic(http.ErrAbortHandler)
	}
}

// stallAfter sends some tokens of the first attempt and then nothing, without an error.
func stallAfter(sent int) func(http.ResponseWriter, *http.Request, int) bool {
	return func(w http.ResponseWriter, r *http.Request, attempt int) bool {
		if attempt > 1 {
			return false
		}
		if sent > 0 {
			sendTokens(w, 0, sent)
		}
		<-r.Context().Done()
		return true
	}
}

// skipPosition omits one position of the stream.
func skipPosition(w http.ResponseWriter, _ *http.Request, attempt int) bool {
	if attempt == 1 {
		sendTokens(w, 0, 2)
		sendTokens(w, 3, 5)
	}
	return attempt == 1
}

// repeatTokens sends the delivered tokens again before the rest.
func repeatTokens(w http.ResponseWriter, _ *http.Request, _ int) bool {
	sendTokens(w, 0, 3)
	sendTokens(w, 0, 5)
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
	return true
}

// omitEndMarker sends all tokens but not the end marker.
func omitEndMarker(w http.ResponseWriter, r *http.Request, _ int) bool {
	after := 0
	_, _ = fmt.Sscan(r.Header.Get(headerLastEvent), &after)
	sendTokens(w, after, 5)
	return true
}

// testStreams guards against gaps, duplicates and truncation in the stream that a caller receives.
func testStreams(t *testing.T) {
	cases := []struct {
		name     string
		script   func(http.ResponseWriter, *http.Request, int) bool
		resumes  bool
		complete bool
	}{
		{"whole-answer/first-token/broken", breakAfter(0), false, true},
		{"whole-answer/mid-stream/broken", breakAfter(3), true, true},
		{"whole-answer/mid-stream/broken-no-resume", breakAfter(3), false, false},
		{"whole-answer/mid-stream/gap", skipPosition, true, true},
		{"whole-answer/mid-stream/repeat", repeatTokens, true, true},
		{"whole-answer/end/no-end-marker", omitEndMarker, true, false},
		{"silent-connection/first-token/no-byte", stallAfter(0), true, true},
		{"silent-connection/mid-stream/no-byte", stallAfter(3), true, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, "", "a-1")
			f.documentText = strings.Replace(f.documentText, "resumes-streams = true", fmt.Sprintf("resumes-streams = %t", c.resumes), 1)
			engine := f.addEngine("a", "engine-1", c.script)
			f.start()
			list, end := readTokens(t, f.chat(f.firstGateway()).Body)
			assert.DeepEqual(t, list, wantTokens(len(list)))
			assert.Equal(t, end == doneMarker, c.complete, end)
			assert.Assert(t, !c.complete || len(list) == 5)
			assert.Assert(t, c.complete || strings.Contains(end, "stream-interrupted"), end)
			assert.Assert(t, engine.count() <= 3)
		})
	}
	t.Run("whole-answer/mid-stream/caller-gone", testCallerDisconnect)
	t.Run("not-run/first-token/time-limit", testServiceTimeout)
	t.Run("silent-connection/whole-answer/slow-but-alive", testSlowBufferedResponse)
}

// testCallerDisconnect guards against an upstream call that continues after its caller has disconnected.
func testCallerDisconnect(t *testing.T) {
	f := newFleet(t, "", "a-1")
	cancelled := make(chan struct{})
	f.addEngine("a", "engine-1", func(w http.ResponseWriter, r *http.Request, _ int) bool {
		sendTokens(w, 0, 2)
		<-r.Context().Done()
		close(cancelled)
		return true
	})
	f.start()
	response := f.chat(f.firstGateway())
	_, err := io.ReadFull(response.Body, make([]byte, 10))
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	select {
	case <-cancelled:
	case <-time.After(inactivityTimeout / 2):
		t.Fatal("upstream call was not cancelled before the inactivity timeout would end it")
	}
	f.waitFor("request ended", func() bool { return f.firstGateway().activeCount.Load() == 0 })
}

// testServiceTimeout guards against reporting "not run" for a request that was sent and whose service timeout expired
// before or during its response.
func testServiceTimeout(t *testing.T) {
	f := newFleet(t, "", "a-1")
	f.documentText = strings.Replace(f.documentText, `timeout = "30s"`, `timeout = "300ms"`, 1)
	engine := f.addEngine("a", "engine-1", stallAfter(0))
	f.start()
	for _, body := range []string{streamedBody, bufferedBody} {
		p := decodeProblem(t, f.send("POST", f.firstGateway().url(chatPath), body))
		assert.Equal(t, p.Outcome, classifier.OutcomeUnknown, p.Type)
		engine.mu.Lock()
		engine.requests = nil
		engine.mu.Unlock()
	}
	engine.script = stallAfter(2)
	list, end := readTokens(t, f.chat(f.firstGateway()).Body)
	assert.DeepEqual(t, list, wantTokens(2))
	assert.Assert(t, strings.Contains(end, `"outcome":"ran"`), end)
}

// testSlowBufferedResponse guards against treating an upstream as unresponsive while it works on a response that isn't
// streamed.
func testSlowBufferedResponse(t *testing.T) {
	t.Parallel()
	f := newFleet(t, "", "a-1")
	f.documentText = strings.Replace(f.documentText, `first-token-target = "2s"`, `first-token-target = "320ms"`, 1)
	engine := f.addEngine("a", "engine-1", func(_ http.ResponseWriter, r *http.Request, _ int) bool {
		select {
		case <-r.Context().Done():
		case <-time.After(inactivityTimeout + time.Second/2):
		}
		return false
	})
	f.start()
	assert.Equal(t, f.send("POST", f.firstGateway().url(chatPath), bufferedBody).StatusCode, http.StatusOK)
	assert.Equal(t, engine.count(), 1)
}

// testHops guards against a receiver that doesn't validate the hop record itself.
func testHops(t *testing.T) {
	f := newFleet(t, "", "a-1", "b-1")
	engine := f.addEngine("a", "engine-1", nil)
	f.start()
	for fault, c := range map[string]struct{ hops, cause string }{
		"own-zone":    {"b/b-1,a/a-2", "loop"},
		"too-long":    {"b/b-1,c/c-1,d/d-1", "hop-limit"},
		"missing":     {"", "invalid-request"},
		"not-a-list":  {"b", "invalid-request"},
		"two-hops-ok": {"c/c-1,b/b-1", ""},
	} {
		t.Run("receive/"+fault, func(t *testing.T) {
			before := engine.count()
			response := f.send("POST", "http://"+f.firstGateway().settings.InternalAddress.String()+chatPath, bufferedBody, headerHops, c.hops)
			if c.cause == "" {
				assert.Equal(t, response.StatusCode, http.StatusOK)
				return
			}
			p := decodeProblem(t, response)
			assert.Equal(t, p.Type, problemPrefix+c.cause)
			assert.Equal(t, p.Outcome, classifier.OutcomeNotRun)
			assert.Equal(t, engine.count(), before)
		})
	}
	t.Run("forward/no-upstream-here", func(t *testing.T) {
		f.waitFor("request is forwarded", func() bool { return f.chat(f.gateways["b-1"]).StatusCode == http.StatusOK })
		list, end := readTokens(t, f.chat(f.gateways["b-1"]).Body)
		assert.DeepEqual(t, list, wantTokens(5))
		assert.Equal(t, end, doneMarker)
	})
	t.Run("forward/all-upstreams-fail", func(t *testing.T) {
		engine.script = func(http.ResponseWriter, *http.Request, int) bool { panic(http.ErrAbortHandler) }
		before := engine.count()
		assert.Equal(t, decodeProblem(t, f.chat(f.gateways["b-1"])).Outcome, classifier.OutcomeUnknown)
		assert.Assert(t, engine.count()-before <= 9, "%d sends for one request", engine.count()-before)
	})
}

const zoneBOnlyRule = `
[[residency-rules]]
name = "stay"
services = ["assist", "core"]
zones = ["b"]
`

// testResidency guards against bytes of a request that reach an availability zone which its residency rules do not
// allow.
func testResidency(t *testing.T) {
	t.Run("arrival/other-zone", func(t *testing.T) {
		f := newFleet(t, zoneBOnlyRule, "a-1", "b-1")
		engineA, engineB := f.addEngine("a", "engine-a", nil), f.addEngine("b", "engine-b", nil)
		plainA := f.addPlainService("a", abortConnection)
		f.start()
		assert.Equal(t, decodeProblem(t, f.chat(f.firstGateway())).Type, problemPrefix+"misdirected")
		assert.Equal(t, decodeProblem(t, f.book(f.firstGateway(), "k")).Type, problemPrefix+"misdirected")
		assert.Equal(t, f.chat(f.gateways["b-1"]).StatusCode, http.StatusOK)
		assert.Assert(t, !strings.Contains(readAll(t, f.send("GET", f.firstGateway().url("/v1/directory?service=core"), "")), `"a-1"`))
		assert.Equal(t, engineA.count()+plainA.count(), 0)
		assert.Equal(t, engineB.count(), 1)
	})
	t.Run("record/home-not-allowed", func(t *testing.T) {
		f := newFleet(t, zoneBOnlyRule, "a-1", "b-1")
		plainB := f.addPlainService("b", abortConnection)
		f.start()
		assert.Equal(t, decodeProblem(t, f.book(f.gateways["b-1"], "k")).Type, problemPrefix+"residency")
		assert.Equal(t, len(f.records.zones)+plainB.count(), 0)
	})
	t.Run("arrival/narrowed", func(t *testing.T) {
		f := newFleet(t, "", "a-1", "b-1")
		engineA := f.addEngine("a", "engine-a", nil)
		f.start()
		assert.Equal(t, decodeProblem(t, f.chat(f.firstGateway(), headerResidency, "b")).Type, problemPrefix+"misdirected")
		assert.Equal(t, decodeProblem(t, f.chat(f.firstGateway(), headerResidency, "nowhere")).Type, problemPrefix+"residency")
		assert.Equal(t, decodeProblem(t, f.chat(f.gateways["b-1"], headerResidency, "b")).Type, problemPrefix+"no-upstream")
		assert.Equal(t, engineA.count(), 0)
	})
	t.Run("mid-stream/new-rule", func(t *testing.T) {
		f := newFleet(t, "", "a-1", "b-1")
		cancelled := make(chan struct{})
		f.addEngine("a", "engine-a", func(w http.ResponseWriter, r *http.Request, _ int) bool {
			sendTokens(w, 0, 2)
			<-r.Context().Done()
			close(cancelled)
			return true
		})
		f.start()
		response := f.chat(f.firstGateway())
		f.applyDocument(func(text string) string { return text + zoneBOnlyRule })
		<-cancelled
		list, end := readTokens(t, response.Body)
		assert.DeepEqual(t, list, wantTokens(2))
		assert.Assert(t, strings.Contains(end, "residency-withdrawn"), end)
	})
}

// drainNoticeLimit is the time after which a draining upstream must receive no new requests.
const drainNoticeLimit = 3 * time.Second

// testDrainingUpstream guards against new requests to an upstream that has reported in any way that it is draining,
// even if it no longer does.
func testDrainingUpstream(t *testing.T) {
	listed := listedVM{Name: "engine-1", Pool: "engines", Zone: "a", State: "leaving", Incarnation: 1}
	drainReports := map[string]func(f *fleet, e *fakeEngine){
		"health": func(_ *fleet, e *fakeEngine) {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.draining = true
		},
		"vm-list": func(f *fleet, _ *fakeEngine) { f.setListedVM("a", listed) },
		"response": func(f *fleet, e *fakeEngine) {
			e.script = func(w http.ResponseWriter, r *http.Request, _ int) bool { respondDraining(w, r); return true }
			for range 20 {
				assert.Equal(f.t, f.send("POST", f.firstGateway().url(chatPath), bufferedBody).StatusCode, http.StatusOK)
			}
		},
	}
	for source, reportDraining := range drainReports {
		t.Run("upstream/"+source, func(t *testing.T) {
			f := newFleet(t, "", "a-1")
			engine := f.addEngine("a", "engine-1", nil)
			f.addEngine("a", "engine-2", nil)
			f.start()
			start := time.Now()
			reportDraining(f, engine)
			u, _ := f.firstGateway().upstreams.find("engine-1", 1)
			f.waitFor("upstream is marked as draining", u.isDraining)
			assert.Assert(t, time.Since(start) < drainNoticeLimit)
			before := engine.count()
			engine.mu.Lock()
			engine.draining = false
			engine.script = nil
			engine.mu.Unlock()
			for range 20 {
				assert.Equal(t, f.send("POST", f.firstGateway().url(chatPath), bufferedBody).StatusCode, http.StatusOK)
			}
			assert.Equal(t, engine.count(), before)
			f.setListedVM("a", listedVM{Name: "engine-2", Pool: "engines", Zone: "a", State: "leaving", Incarnation: 1})
			f.addUpstream("a", "engines", "engine-1", u.address, 2)
			f.waitFor("new incarnation receives requests", func() bool {
				return f.send("POST", f.firstGateway().url(chatPath), bufferedBody).StatusCode == http.StatusOK && engine.count() > before
			})
		})
	}
}

// testGracefulDrain guards against a drain that interrupts a request, or that closes the listener while a valid
// directory response lists the VM.
func testGracefulDrain(t *testing.T) {
	f := newFleet(t, "", "a-1", "a-2")
	release := make(chan struct{})
	releaseOnce := sync.OnceFunc(func() { close(release) })
	defer releaseOnce()
	f.addEngine("a", "engine-1", func(w http.ResponseWriter, _ *http.Request, _ int) bool {
		sendTokens(w, 0, 1)
		<-release
		sendTokens(w, 1, 5)
		_, _ = io.WriteString(w, "data: [DONE]\n\n")
		return true
	})
	f.start()
	stopping := f.firstGateway()
	streams := make([]*http.Response, 5)
	for i := range streams {
		streams[i] = f.chat(stopping)
	}
	stopping.cancel()
	start := time.Now()
	f.waitFor("not ready", func() bool {
		return f.send("GET", "http://"+stopping.settings.AdminAddress.String()+"/readyz", "").StatusCode == http.StatusServiceUnavailable
	})
	t.Run("directory/other-gateway", func(t *testing.T) {
		f.waitFor("no longer listed", func() bool {
			return !strings.Contains(readAll(t, f.send("GET", f.gateways["a-2"].url("/v1/directory"), "")), `"a-1"`)
		})
		assert.Assert(t, time.Since(start) < stopPropagationTime)
	})
	t.Run("arrival/list-in-use", func(t *testing.T) {
		streams = append(streams, f.chat(stopping))
	})
	t.Run("mid-stream/term", func(t *testing.T) {
		f.waitFor("closed for new connections", func() bool {
			conn, err := net.Dial("tcp", stopping.settings.CallerAddress.String())
			if err == nil {
				_ = conn.Close()
			}
			return err != nil
		})
		releaseOnce()
		for _, response := range streams {
			list, end := readTokens(t, response.Body)
			assert.DeepEqual(t, list, wantTokens(5))
			assert.Equal(t, end, doneMarker)
		}
		assert.NilError(t, <-stopping.serveResult)
		stopping.serveResult <- nil
	})
}

// testRetries guards against retries that multiply the load while upstreams fail.
func testRetries(t *testing.T) {
	t.Run("send/every-attempt-fails", func(t *testing.T) {
		f := newFleet(t, "", "a-1")
		engine := f.addEngine("a", "engine-1", func(http.ResponseWriter, *http.Request, int) bool { panic(http.ErrAbortHandler) })
		other := f.addEngine("a", "engine-2", engine.script)
		f.start()
		const requests = 100
		for range requests {
			assert.Equal(t, decodeProblem(t, f.send("POST", f.firstGateway().url(chatPath), bufferedBody)).Outcome, classifier.OutcomeUnknown)
		}
		sends := engine.count() + other.count()
		assert.Assert(t, sends <= requests+requests/10+10, "%d sends for %d requests", sends, requests)
	})
}
