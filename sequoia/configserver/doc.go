// Package configserver carries the document, promotions, status and history between controllers and the processes
// that ask them: the jsonrpc2 handler of a controller, and the client.
package configserver
