package main

import (
	"net/http"
	"time"
)

const (
	// idleConnections bounds the idle connections to one upstream; a batch seldom has more new requests at once.
	idleConnections = 64
	// idleConnectionTimeout is short because an idle connection may have gone silent without an error.
	idleConnectionTimeout = 30 * time.Second
)

// upstreamClient holds the connections to one upstream or gateway.
type upstreamClient struct {
	// shared reuses connections, for requests that may be repeated.
	shared *http.Transport
	// single uses one connection for each request. The HTTP library repeats a request by itself only on a reused
	// connection, so a request is sent exactly once here.
	single *http.Transport
}

func newUpstreamClient(dial dialer) *upstreamClient {
	return &upstreamClient{
		shared: &http.Transport{
			DialContext:         dial,
			DisableCompression:  true,
			MaxIdleConns:        idleConnections,
			MaxIdleConnsPerHost: idleConnections,
			IdleConnTimeout:     idleConnectionTimeout,
		},
		single: &http.Transport{DialContext: dial, DisableCompression: true, DisableKeepAlives: true},
	}
}

// dropIdle closes the idle connections, any of which may be silent too when one was.
func (c *upstreamClient) closeIdle() {
	c.shared.CloseIdleConnections()
	c.single.CloseIdleConnections()
}
