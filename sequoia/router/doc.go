// Package router selects the upstream for a request, or another availability zone to forward it to.
//
// Hard filters are applied first: residency, model, draining, suspect. The remaining upstreams are ranked by the
// expected time to first token, which accounts for prefix cache hits, by bounded-load affinity and by load. A request
// is forwarded to another availability zone only if that zone is faster by a margin after network costs. Each decision
// carries its reason.
//
// A request is routed twice: on arrival, to decide whether to forward it or to pass it to the admitter, and again after
// admission, to select the upstream.
package router
