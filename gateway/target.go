package main

import (
	"net/http"
	"net/netip"
)

// target is the destination of one attempt of a request: an upstream of the local availability zone, or a gateway of
// another one.
type target struct {
	upstream *upstream
	vm       string
	zone     string
	address  netip.AddrPort
	client   *upstreamClient
}

// isForward reports whether the target is a gateway of another availability zone.
func (t target) isForward() bool {
	return t.upstream == nil
}

func upstreamTarget(u *upstream) target {
	return target{upstream: u, vm: u.name, zone: u.zone, address: u.address, client: u.client}
}

// forwardHeader returns the headers of a forwarded request, with all that another gateway needs to serve it in the same
// way.
func (req *callerRequest) forwardHeader(self hop) http.Header {
	header := req.upstreamHeader()
	header.Set("Authorization", req.authorisation)
	header.Set(headerHops, formatHops(append(append([]hop(nil), req.hops...), self)))
	header.Set(headerRank, req.declaredRank().Name)
	for _, zone := range req.subject.RestrictedTo {
		header.Add(headerResidency, zone)
	}
	return header
}
