// Package acceptor guards all listeners of a process against callers that hold connections without using them.
//
// A Guard counts the connections of all listeners, charges their memory and that of their request headers to the memory
// account of the process, and closes connections that wait for their caller too long: idle ones, slow headers and bodies,
// and responses that are not read. At the connection limit it closes the one that lags most. A connection whose complete
// request is being processed is never closed.
package acceptor
