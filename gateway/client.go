package main

import (
	"net/http"
	"time"

	"sequoiaspread.example/sequoia/verifier"
)

const (
	// idleConnections limits the idle connections to one upstream. A batch rarely takes more new requests at the same
	// time.
	idleConnections = 64
	// idleConnectionTimeout is short because an idle connection may have been lost without an error.
	idleConnectionTimeout = 30 * time.Second
)

// upstreamClient holds the connections to one upstream or gateway.
type upstreamClient struct {
	// shared reuses connections, for idempotent requests.
	shared *verifier.Transport
	// single opens one connection per request, so that the request is sent exactly once: net/http retries by itself
	// only on a reused connection.
	single *verifier.Transport
}

func newUpstreamClient(dial dialer) *upstreamClient {
	return &upstreamClient{
		shared: verifier.NewTransport(verifier.TransportConfig{Base: &http.Transport{
			DialContext:            dial,
			DisableCompression:     true,
			MaxIdleConns:           idleConnections,
			MaxIdleConnsPerHost:    idleConnections,
			IdleConnTimeout:        idleConnectionTimeout,
			MaxResponseHeaderBytes: maxHeaderBytes,
		}}),
		single: verifier.NewTransport(verifier.TransportConfig{Base: &http.Transport{
			DialContext: dial, DisableCompression: true, DisableKeepAlives: true, MaxResponseHeaderBytes: maxHeaderBytes,
		}}),
	}
}

// closeIdle closes the idle connections. After one connection became unresponsive, the idle ones may be too.
func (c *upstreamClient) closeIdle() {
	c.shared.CloseIdleConnections()
	c.single.CloseIdleConnections()
}
