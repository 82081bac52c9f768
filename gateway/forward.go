package main

import (
	"hash/fnv"
	"net/netip"
	"slices"

	"sequoiaspread.example/sequoia/classifier"
	"sequoiaspread.example/sequoia/parser"
)

// forwardTarget chooses a live gateway of another availability zone. Requests are distributed by the hash of their ID.
func (g *gateway) forwardTarget(req *callerRequest, zone string, excluded []string) (target, error) {
	if hasVisited(req.hops, zone) || len(req.hops) >= maxHops {
		return target{}, newRefusal("choose gateway", classifier.CauseHopLimit, "")
	}
	live := g.members.livePeers(g.now(), zone)
	vms := slices.DeleteFunc(g.environment.Load().zoneVMs(zone), func(vm parser.VM) bool {
		return !slices.Contains(live, vm.Name) || slices.Contains(excluded, vm.Name)
	})
	if len(vms) == 0 {
		return target{}, newRefusal("choose gateway", classifier.CauseNoUpstream, "no gateway of "+zone+" can be reached")
	}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(req.id))
	chosen := vms[int(hash.Sum32()%uint32(len(vms)))]
	return target{vm: chosen.Name, zone: zone, address: chosen.InternalAddress.AddrPort, client: g.peerClient(chosen.InternalAddress.AddrPort)}, nil
}

// peerClient returns the connections to another gateway.
func (g *gateway) peerClient(address netip.AddrPort) *upstreamClient {
	g.peersLock.Lock()
	defer g.peersLock.Unlock()
	client, ok := g.peers[address]
	if !ok {
		client = newUpstreamClient(g.dial)
		g.peers[address] = client
	}
	return client
}
