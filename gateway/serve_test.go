package main

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func keyDigest(key string) string {
	digest := sha256.Sum256([]byte(key))
	return hex.EncodeToString(digest[:])
}

// Guards against responses that are changed, lose a part or repeat one, and against prompts, keys or responses in logs.
func TestServeResponses(t *testing.T) {
	f := newFleet(t, "", "a-1")
	engine := f.addEngine("a", "engine-1", nil)
	f.addPlainService("a", func(w http.ResponseWriter, r *http.Request) { _, _ = w.Write([]byte(r.Method + r.URL.Path)) })
	f.start()
	g := f.firstGateway()
	stream, end := readTokens(t, f.chat(g, headerTraceParent, "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01").Body)
	assert.DeepEqual(t, stream, wantTokens(5))
	assert.Equal(t, end, doneMarker)
	assert.Assert(t, strings.HasPrefix(engine.requests[0].Header.Get(headerTraceParent), "00-0af7651916cd43dd8448eb211c80319c-"))
	assert.Equal(t, engine.requests[0].Header.Get("Authorization"), "")
	buffered := readAll(t, f.send("POST", g.url(chatPath), bufferedBody))
	assert.Equal(t, buffered, `{"choices":[{"message":{"content":"whole"}}]}`)
	assert.Equal(t, readAll(t, f.send("PUT", g.url("/services/core/bookings/../bays"), "", headerIdempotencyKey, "k1")), "PUT/bays")
	first := f.send("POST", g.url("/services/core/bookings"), "b", headerIdempotencyKey, "k2")
	assert.Equal(t, readAll(t, first), "POST/bookings")
	assert.Equal(t, decodeProblem(t, f.send("POST", g.url("/services/core/bookings"), "other", headerIdempotencyKey, "k2")).Type, problemPrefix+"key-conflict")
	assert.Equal(t, f.send("GET", g.url("/v1/models"), "").StatusCode, http.StatusOK)
	assert.Equal(t, f.send("POST", g.url("/v1/sessions"), "").StatusCode, http.StatusCreated)
	var outcome outcomeBody
	assert.NilError(t, json.Unmarshal([]byte(readAll(t, f.send("GET", g.url("/v1/outcomes/k2"), ""))), &outcome))
	assert.Equal(t, outcome.Outcome, "ran")
	for _, secret := range []string{"private words", "demo-kiosks", "token-1"} {
		assert.Assert(t, !strings.Contains(f.logText(), secret), secret)
	}
}
