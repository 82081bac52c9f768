// Package answerer serves callers on an entry VM: it finds the route of a request, selects an upstream of the region or
// another region, sends the request, and relays the response. It never relays bytes that belong to another request.
package answerer
