// Package gossiper tells the entry VMs of a region what each of them has at the upstreams, in datagrams that may be
// lost: each one states everything.
package gossiper
