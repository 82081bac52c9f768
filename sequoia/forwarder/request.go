package forwarder

import (
	"bufio"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Request is one request to send. Target is the caller's path and query, byte for byte.
type Request struct {
	Method string
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// ID identifies the request; it may be empty. A connection that has carried the ID lately does not carry it again,
	// because a faulty upstream may repeat the response to the first send.
	ID string
	// FreshConnection requests a connection that was idle for only a short time, or a new one.
	FreshConnection bool
	// Permit is called once a connection is established, before the first byte is sent, and may be nil. Its error is
	// returned as KindNotSent. If the peer had closed an idle connection before its time, closedUsedAt is when that was used
	// last; otherwise it is zero.
	Permit func(closedUsedAt time.Time) error
	// Matches reports whether a response belongs to this request; responses that do not are read and skipped. Nil
	// accepts any response.
	Matches func(header http.Header) bool
}

// hopByHopHeaders apply to a single connection and are never forwarded.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Proxy-Connection": true, "Keep-Alive": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Host": true, "Expect": true,
	"Proxy-Authenticate": true, "Proxy-Authorization": true,
}

// CopyHeader copies the end-to-end header fields, leaving out hop-by-hop fields and those named by a Connection field.
func CopyHeader(to, from http.Header) {
	connectionOptions := map[string]bool{}
	for _, line := range from.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			connectionOptions[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	for name, values := range from {
		if !hopByHopHeaders[name] && !connectionOptions[name] {
			to[name] = append([]string(nil), values...)
		}
	}
}

func (r Request) write(w *bufio.Writer) error {
	_, _ = w.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		_, _ = w.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	if err := r.Header.Write(w); err != nil {
		return err
	}
	_, _ = w.WriteString("\r\n")
	if _, err := w.Write(r.Body); err != nil {
		return err
	}
	return w.Flush()
}
