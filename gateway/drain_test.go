package main

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

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
