package main

import (
	"net"
	"net/http"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"
	"sequoiaspread.example/sequoia/classifier"
)

func abortConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

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
