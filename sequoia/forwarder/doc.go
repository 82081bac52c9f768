// Package forwarder sends HTTP/1.1 requests to upstreams over pooled connections. It never retries a request by itself,
// and each error says whether a byte of the request may have reached the upstream.
package forwarder
