package main

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// rawResponse answers a request with raw bytes, and resets the connection some time later if reset is set.
func rawResponse(response string, reset bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_, _ = io.WriteString(conn, response)
		if reset {
			time.Sleep(20 * time.Millisecond)
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
	}
}

// Guards against a broken response to a promotion being shown as its outcome, or as a refusal, although it is not known.
func TestBrokenResponseLeavesTheOutcomeUnknown(t *testing.T) {
	const (
		accepted = `{"result":"accepted","version":1}`
		refused  = `{"type":"urn:sequoiaspread:problem:not-ready","outcome":"not-run"}`
		tooLong  = "\r\nContent-Length: 1000\r\n\r\n"
	)
	for name, c := range map[string]struct {
		response string
		reset    bool
	}{
		"status":           {response: "HTTP/1.1 000 Trouble\r\n\r\n" + refused},
		"blank in a name":  {response: "HTTP/1.1 200 OK\r\nX-A : 1\r\n\r\n" + accepted},
		"refusal, blank":   {response: "HTTP/1.1 503 Full\r\nX A: 1\r\n\r\n" + refused},
		"before the head":  {response: "HTTP/1.1 103 Early Hints\r\nX-A : 1\r\n\r\nHTTP/1.1 200 OK\r\n\r\n" + accepted},
		"cut off":          {response: "HTTP/1.1 200 OK" + tooLong + accepted},
		"refusal, cut off": {response: "HTTP/1.1 503 Full" + tooLong + refused},
		"reset":            {response: "HTTP/1.1 200 OK\r\n\r\n" + accepted, reset: true},
	} {
		t.Run(name, func(t *testing.T) {
			address := startServer(t, rawResponse(c.response, c.reset))
			_, err := runCommand(t, "promote", "../deployments/guild.toml", "--controller", address)
			assert.Equal(t, exitCode(err), exitUnknown, "%v", err)
		})
	}
	address := startServer(t, rawResponse("HTTP/1.1 200 OK\r\n\r\n"+accepted, false))
	_, err := runCommand(t, "promote", "../deployments/guild.toml", "--controller", address)
	assert.NilError(t, err)
}
