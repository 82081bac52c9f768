package forwarder

import (
	"bufio"
	"net/http"
	"strconv"
	"strings"
)

// Request is one request as it is sent; the target is the caller's path and query, byte for byte.
type Request struct {
	Method string
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Fresh asks for a connection that was used a moment ago at most, or for a new one.
	FreshConnection bool
	// Matches reports whether a response belongs to this request; one that does not is read and skipped.
	Matches func(header http.Header) bool
}

// connectionHeaders concern one connection only and are never passed on.
var connectionHeaders = map[string]bool{
	"Connection": true, "Proxy-Connection": true, "Keep-Alive": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Host": true, "Expect": true,
	"Proxy-Authenticate": true, "Proxy-Authorization": true,
}

// CopyHeader copies the fields that may be passed on; those that a Connection field names are left out too.
func CopyHeader(to, from http.Header) {
	named := map[string]bool{}
	for _, line := range from.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	for name, values := range from {
		if !connectionHeaders[name] && !named[name] {
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
