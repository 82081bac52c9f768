package main

import (
	"net/http"
	"net/netip"
)

// target is where one attempt of a request goes: an upstream of the own availability zone, or a gateway of another one.
type target struct {
	upstream *upstream
	vm       string
	zone     string
	address  netip.AddrPort
	client   *upstreamClient
}

// forward reports whether the target is a gateway of another availability zone.
func (t target) isForward() bool {
	return t.upstream == nil
}

func upstreamTarget(u *upstream) target {
	return target{upstream: u, vm: u.name, zone: u.zone, address: u.address, client: u.client}
}

// forwardHeader adds what another gateway needs to serve the request as this one would.
func (req *callerRequest) forwardHeader(self hop) http.Header {
	header := req.upstreamHeader()
	header.Set("Authorization", req.authorisation)
	header.Set(headerHops, formatHops(append(append([]hop(nil), req.hops...), self)))
	header.Set(headerRank, req.declaredRank().Name)
	for _, place := range req.subject.RestrictedTo {
		header.Add(headerResidency, place)
	}
	return header
}
