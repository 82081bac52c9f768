package main

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// addCrashingEngine adds an engine that closes its listener and all its connections, as a crashing process does, when a
// prompt contains the marker.
func (f *fleet) addCrashingEngine(zone, name string, lost *atomic.Int32) {
	var dead atomic.Bool
	var server *httptest.Server
	e := &fakeEngine{tokens: 5}
	server = f.startServer(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		r.Body = io.NopCloser(bytes.NewReader(body))
		if bytes.Contains(body, []byte("marker")) && dead.CompareAndSwap(false, true) {
			lost.Add(1)
			_ = server.Config.Close()
		}
		if dead.Load() {
			panic(http.ErrAbortHandler)
		}
		e.ServeHTTP(w, r)
	})
	f.addUpstream(zone, "engines", name, serverAddress(server.URL), 1)
}

// testCrashingRequest guards against a request that crashes every upstream because its caller resends it. The limit is
// the one that the isolator documents for copies that arrive one after another.
func testCrashingRequest(t *testing.T) {
	const maxLost = 2
	for _, stream := range []string{"true", "false"} {
		t.Run("resend/stream-"+stream, func(t *testing.T) {
			f := newFleet(t, "", "a-1", "a-2")
			var lost atomic.Int32
			for i := range 6 {
				f.addCrashingEngine("a", "engine-"+strconv.Itoa(i), &lost)
			}
			f.start()
			body := strings.Replace(streamedBody, "private words", "marker", 1)
			body = strings.Replace(body, `"stream":true`, `"stream":`+stream, 1)
			for i := range 12 {
				g := f.gateways["a-"+strconv.Itoa(i%2+1)]
				assert.Assert(t, f.send("POST", g.url(chatPath), body).StatusCode != http.StatusOK)
			}
			assert.Assert(t, lost.Load() <= maxLost, "%d upstreams lost", lost.Load())
			for _, g := range f.gateways {
				response := f.send("POST", g.url(chatPath), bufferedBody)
				assert.Equal(t, response.StatusCode, http.StatusOK, readAll(t, response))
			}
		})
	}
}
