package main

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a model that counts as loaded although its weights did not arrive whole.
func TestBrokenWeightsAreNotLoaded(t *testing.T) {
	for name, c := range map[string]struct {
		response string
		loaded   bool
	}{
		"whole":           {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", true},
		"cut off":         {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab", false},
		"status":          {"HTTP/1.1 000 Trouble\r\nContent-Length: 2\r\n\r\nab", false},
		"blank in a name": {"HTTP/1.1 200 OK\r\nX-A : 1\r\nContent-Length: 2\r\n\r\nab", false},
	} {
		t.Run(name, func(t *testing.T) {
			store := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				_, _ = io.WriteString(conn, c.response)
			}))
			defer store.Close()
			_, loaded := fetchWeights(context.Background(), store.URL, "m")
			assert.Equal(t, loaded, c.loaded)
		})
	}
}
