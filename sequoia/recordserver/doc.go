// Package recordserver carries booking record requests over jsonrpc2: the handler of a controller
// and the client of a gateway.
package recordserver
