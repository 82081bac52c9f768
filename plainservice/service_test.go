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
	request.Header.Set(keyHeader, key)
	// Without GetBody the HTTP library does not repeat a request with an idempotency key by itself.
	request.GetBody = nil
	response, err := server.Client().Do(request)
	if err == nil {
		response.Body.Close()
	}
	return err
}

// Guards against a lost reply or a refusal being counted wrongly, which would hide a repeated execution.
func TestCounts(t *testing.T) {
	for _, honours := range []bool{false, true} {
		service := New(Config{HonoursKeys: honours})
		server := httptest.NewServer(service.Handler())
		defer server.Close()
		assert.NilError(t, post(t, server, "/faults", "", `{"lose-next":1}`))
		assert.Assert(t, post(t, server, "/bookings", "k", "{}") != nil)
		assert.NilError(t, post(t, server, "/bookings", "k", "{}"))
		assert.NilError(t, post(t, server, "/faults", "", `{"refuse-next":1}`))
		assert.NilError(t, post(t, server, "/bookings", "k2", "{}"))
		want := 2
		if honours {
			want = 1
		}
		assert.Equal(t, service.counts.Keys["k"], want)
		assert.Equal(t, service.counts.Paths["POST /bookings"], want)
		assert.Equal(t, service.counts.Keys["k2"], 0)
	}
}
