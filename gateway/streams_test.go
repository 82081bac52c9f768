package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"sequoiaspread.example/sequoia/classifier"
)

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
	cancelled := f.addStallingEngine("a", "engine-1")
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
