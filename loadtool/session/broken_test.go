package session

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a broken response of an entry VM that the checks of a session take for sound, or hide by a retry.
func TestBrokenResponseIsReported(t *testing.T) {
	const body = `{"vm":"v","key":"k","path":"/bookings"}`
	for name, c := range map[string]struct {
		response string
		broken   bool
	}{
		"sound":           {"HTTP/1.1 200 OK\r\n\r\n" + body, false},
		"status":          {"HTTP/1.1 000 Trouble\r\n\r\n" + body, true},
		"blank in a name": {"HTTP/1.1 200 OK\r\nX-A : 1\r\n\r\n" + body, true},
		"cut off":         {"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n" + body, true},
		"reset":           {"HTTP/1.1 200 OK\r\n\r\n" + body, true},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				_, _ = io.WriteString(conn, c.response)
				if name == "reset" {
					time.Sleep(20 * time.Millisecond)
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
			}))
			defer server.Close()
			entry := Entry{VM: "v", Address: netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))}
			caller := NewCaller("kiosks", []Entry{entry}, func(string) []string { return nil })
			defer caller.Close()
			call := Call{Service: "core", Method: http.MethodPost, Path: "/bookings", Key: "k", Body: []byte("{}")}
			_, err := caller.CallAt(context.Background(), entry, call, time.Now())
			var failure *Error
			assert.Equal(t, errors.As(err, &failure) && failure.Kind == KindResponse, c.broken, "%v", err)
		})
	}
}
