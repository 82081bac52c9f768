// Package recordserver transports the requests and the peer messages of package recorder over JSON-RPC 2.0. It has the
// handler of a controller and the client of a gateway.
package recordserver
