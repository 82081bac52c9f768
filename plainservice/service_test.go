package main

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func post(t *testing.T, server *httptest.Server, path, key, body string) error {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL+path, strings.NewReader(body))
	assert.NilError(t, err)
	request.Header.Set(idempotencyKeyHeader, key)
	// Without GetBody, net/http does not retry a request that has an idempotency key.
	request.GetBody = nil
	response, err := server.Client().Do(request)
	if err == nil {
		response.Body.Close()
	}
	return err
}

// Guards against a lost response or a refused call being counted wrongly, which would hide duplicate executions.
func TestCounts(t *testing.T) {
	for _, honoursKeys := range []bool{false, true} {
		service := New(Config{HonoursIdempotencyKeys: honoursKeys})
		server := httptest.NewServer(service.Handler())
		defer server.Close()
		assert.NilError(t, post(t, server, "/faults", "", `{"lose-next":1}`))
		assert.Assert(t, post(t, server, "/bookings", "k", "{}") != nil)
		assert.NilError(t, post(t, server, "/bookings", "k", "{}"))
		assert.NilError(t, post(t, server, "/faults", "", `{"refuse-next":1}`))
		assert.NilError(t, post(t, server, "/bookings", "k2", "{}"))
		want := 2
		if honoursKeys {
			want = 1
		}
		assert.Equal(t, service.counts.Keys["k"], want)
		assert.Equal(t, service.counts.Paths["POST /bookings"], want)
		assert.Equal(t, service.counts.Keys["k2"], 0)
	}
}
