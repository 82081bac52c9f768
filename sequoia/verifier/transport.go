package verifier

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
)

// Transport is an http.RoundTripper that fails for broken responses, which http.Transport returns.
type Transport struct {
	base *http.Transport
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
	return &Transport{base: base}
}

// RoundTrip sends a request and returns its response. The connection of a broken head is closed.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	var conn net.Conn
	ctx := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { conn = info.Conn },
	})
	response, err := t.base.RoundTrip(request.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if err := checkStatus(response.StatusCode); err != nil {
		_ = conn.Close()
		_ = response.Body.Close()
		return nil, err
	}
	return response, nil
}

// CloseIdleConnections closes the connections that carry no request.
func (t *Transport) CloseIdleConnections() {
	t.base.CloseIdleConnections()
}
