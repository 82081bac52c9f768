package main

import (
	"hash/fnv"
	"net"
	"net/http"
	"net/netip"

	"sequoiaspread.example/sequoia/locator"
	"sequoiaspread.example/sequoia/restrictor"
)

// directoryEntry is one entry VM of a directory response.
type directoryEntry struct {
	VM      string         `json:"vm"`
	Address netip.AddrPort `json:"address"`
	Zone    string         `json:"zone"`
}

type directoryBody struct {
	Entries         []directoryEntry `json:"entries"`
	LifetimeSeconds float64          `json:"lifetime-seconds"`
}

// serveDirectory lists the entry VMs for a caller. For a known organisation its home availability zone comes first,
// otherwise the one of this gateway. The query parameter zone overrides this with the location of the caller. With the
// query parameter service, the list omits the zones in which the residency rules do not allow the organisation to use
// that service.
func (g *gateway) serveDirectory(w http.ResponseWriter, r *http.Request) {
	env := g.environment.Load()
	zone := g.settings.Zone
	var zones []string
	restricted := false
	if req, err := g.openRequest(r); err == nil {
		zone = req.organisation.HomeZone
		zones, restricted = req.serviceZones(r.URL.Query().Get("service"))
	}
	if env != nil && env.doc.RegionOf(r.URL.Query().Get("zone")) != "" {
		zone = r.URL.Query().Get("zone")
	}
	caller := locator.Caller{Zone: zone, Seed: callerSeed(r), Restricted: restricted, AllowedZones: zones}
	if env != nil {
		caller.Region = env.doc.RegionOf(zone)
	}
	g.locatorLock.Lock()
	list := g.locator.Locate(caller)
	g.locatorLock.Unlock()
	body := directoryBody{Entries: []directoryEntry{}, LifetimeSeconds: list.Lifetime.Seconds()}
	for _, entry := range list.Entries {
		body.Entries = append(body.Entries, directoryEntry(entry))
	}
	writeJSON(w, http.StatusOK, body)
}

// serviceZones returns the availability zones in which the organisation may use a service, and false if the document
// has no such service.
func (req *callerRequest) serviceZones(service string) ([]string, bool) {
	if _, ok := req.env.doc.Service(service); !ok {
		return nil, false
	}
	return req.env.restrictor.AllowedZones(restrictor.Subject{Organisation: req.organisation.Name, Service: service}), true
}

// callerSeed returns the same seed, and so the same list, for all requests of one caller, and different ones for
// different callers.
func callerSeed(r *http.Request) uint64 {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		host = r.RemoteAddr
	}
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(host + r.Header.Get("Authorization")))
	return hash.Sum64()
}

// refreshDirectory updates the directory with the entry VMs of the current document and their member states.
func (g *gateway) refreshDirectory() {
	env := g.environment.Load()
	if env == nil {
		return
	}
	now := g.now()
	vms := make([]locator.VM, 0, len(env.doc.VMs))
	for _, vm := range env.doc.VMs {
		vms = append(vms, locator.VM{
			Name: vm.Name, Zone: vm.Zone, Region: env.doc.RegionOf(vm.Zone), Address: vm.CallerAddress.AddrPort,
			State: directoryState(g.members.state(now, vm.Name)),
		})
	}
	g.locatorLock.Lock()
	defer g.locatorLock.Unlock()
	g.locator.SetVMs(now, vms)
}

func directoryState(member string) locator.State {
	switch member {
	case memberLive:
		return locator.StateLive
	case memberStopping:
		return locator.StateStopping
	default:
		return locator.StateDead
	}
}
