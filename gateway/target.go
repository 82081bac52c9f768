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
func (t target) forward() bool {
	return t.upstream == nil
}

func upstreamTarget(u *upstream) target {
	return target{upstream: u, vm: u.name, zone: u.zone, address: u.address, client: u.client}
}

// forwardHeader adds what another gateway needs to serve the request as this one would.
func (j *job) forwardHeader(self hop) http.Header {
	header := j.upstreamHeader()
	header.Set("Authorization", j.authority)
	header.Set(headerHops, formatHops(append(append([]hop(nil), j.hops...), self)))
	header.Set(headerRank, j.rankOf().Name)
	for _, place := range j.subject.RestrictedTo {
		header.Add(headerResidency, place)
	}
	return header
}
