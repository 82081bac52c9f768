package verifier

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
)

const (
	// defaultMaxHeadBytes limits the informational responses before a response if the transport below has no limit.
	defaultMaxHeadBytes = 64 << 10
	// minHeadBytes is the size of a head without fields, and fieldBytes of a field without its name and value.
	minHeadBytes = int64(len("HTTP/1.1 100 \r\n\r\n"))
	fieldBytes   = int64(len(": \r\n"))
)

// Transport is an http.RoundTripper that fails for broken responses, which http.Transport returns.
type Transport struct {
	base         *http.Transport
	maxHeadBytes int64
}

// TransportConfig holds the settings of a Transport. Base holds those of the transport below, which is a copy of it.
type TransportConfig struct {
	Base *http.Transport
}

// NewTransport returns a transport without connections.
func NewTransport(config TransportConfig) *Transport {
	base := config.Base.Clone()
	dial := base.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(raw), nil
	}
	t := &Transport{base: base, maxHeadBytes: base.MaxResponseHeaderBytes}
	if t.maxHeadBytes == 0 {
		t.maxHeadBytes = defaultMaxHeadBytes
	}
	return t
}

// RoundTrip sends a request and returns its response. The connection of a broken head is closed.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	var conn net.Conn
	informational := informationalChecker{bytesLeft: t.maxHeadBytes}
	ctx := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{
		GotConn:        func(info httptrace.GotConnInfo) { conn = info.Conn },
		Got1xxResponse: informational.check,
	})
	response, err := t.base.RoundTrip(request.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if err := CheckHead(response); err != nil {
		_ = conn.Close()
		_ = response.Body.Close()
		return nil, err
	}
	if response.Body != http.NoBody {
		response.Body = Body(response)
	}
	return response, nil
}

// CloseIdleConnections closes the connections that carry no request.
func (t *Transport) CloseIdleConnections() {
	t.base.CloseIdleConnections()
}

// informationalChecker checks the informational responses before a response. Package net/http does not limit their size if
// they are looked at.
type informationalChecker struct {
	bytesLeft int64
}

func (c *informationalChecker) check(_ int, fields textproto.MIMEHeader) error {
	c.bytesLeft -= minHeadBytes
	for name, values := range fields {
		for _, value := range values {
			c.bytesLeft -= fieldBytes + int64(len(name)+len(value))
		}
	}
	if c.bytesLeft < 0 {
		return newError("check head", KindHeadTooLarge, "the informational responses exceed the size limit")
	}
	return checkFields("check head", http.Header(fields))
}
