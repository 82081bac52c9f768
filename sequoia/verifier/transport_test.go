package verifier

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// get sends a request through a transport, to a server that answers it with raw bytes and closes the connection.
func get(t *testing.T, base *http.Transport, response string) (string, error) {
	t.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = socket.Close() }()
	go func() {
		conn, err := socket.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			_, _ = io.WriteString(conn, response)
		}
	}()
	transport := NewTransport(TransportConfig{Base: base})
	defer transport.CloseIdleConnections()
	got, err := (&http.Client{Transport: transport}).Get("http://" + socket.Addr().String())
	if err != nil {
		return "", err
	}
	defer func() { _ = got.Body.Close() }()
	text, err := io.ReadAll(got.Body)
	return string(text), err
}

// Guards against a broken response that net/http returns, and against the refusal of a sound one.
func TestTransportReturnsOnlySoundResponses(t *testing.T) {
	const (
		whole  = "Content-Length: 5\r\n\r\nwhole"
		sound  = "HTTP/1.1 200 OK\r\n" + whole
		chunks = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n"
		hints  = "HTTP/1.1 103 Early Hints\r\n"
	)
	for name, c := range map[string]struct {
		response string
		want     Kind
	}{
		"sound":                      {sound, ""},
		"no length":                  {"HTTP/1.1 200 OK\r\n\r\nwhole", ""},
		"informational":              {hints + "A: b\r\n\r\n" + sound, ""},
		"trailer":                    {chunks + "A: b\r\n\r\n", ""},
		"status below 100":           {"HTTP/1.1 000 Trouble\r\n" + whole, KindInvalidStatus},
		"status above 599":           {"HTTP/1.1 600 Trouble\r\n" + whole, KindInvalidStatus},
		"other protocol":             {"HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n", KindInvalidStatus},
		"blank in a name":            {"HTTP/1.1 200 OK\r\nX-A : 1\r\n" + whole, KindInvalidField},
		"blank, no body":             {"HTTP/1.1 200 OK\r\nX A: 1\r\nContent-Length: 0\r\n\r\n", KindInvalidField},
		"blank before the head":      {hints + "X-A : 1\r\n\r\n" + sound, KindInvalidField},
		"blank in the trailer":       {chunks + "X-A : 1\r\n\r\n", KindInvalidField},
		"informational without end":  {strings.Repeat(hints+"\r\n", 1<<20/len(hints)) + sound, KindHeadTooLarge},
		"informational, long fields": {strings.Repeat(hints+"A: "+strings.Repeat("b", 1<<10)+"\r\n\r\n", 100) + sound, KindHeadTooLarge},
	} {
		for base, config := range map[string]*http.Transport{"default": {}, "with a limit": {MaxResponseHeaderBytes: 8 << 10}} {
			t.Run(name+", "+base, func(t *testing.T) {
				text, err := get(t, config, c.response)
				if c.want == "" {
					assert.NilError(t, err)
					assert.Equal(t, text, "whole")
					return
				}
				assert.Assert(t, IsKind(err, c.want), "%q %v", text, err)
			})
		}
	}
}
