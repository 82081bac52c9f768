// Package configserver provides the jsonrpc2 handler of a controller and its client, for document polls, promotions,
// status and history.
package configserver
