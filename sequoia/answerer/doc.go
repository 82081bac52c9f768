// Package answerer serves callers on an entry VM: it finds the route of a request, chooses an upstream of the region or
// another region, sends the request, and passes the answer on without a byte that belongs to another.
package answerer
