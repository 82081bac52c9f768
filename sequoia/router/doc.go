// Package router chooses the upstream of a request, or another availability zone to forward it to.
//
// Hard filters come first: residency, model, leaving, suspect. Among the upstreams that pass, the choice is by
// expected time to first token with prefix cache hits, bounded-load affinity and load. Another availability zone
// is chosen only when it wins by a margin over the price of crossing. Each decision states its reasons.
//
// A caller routes a request when it arrives, to learn whether to forward it, and offers it to the admitter
// otherwise. It routes again when the admitter lets the request go, to learn the upstream.
package router
