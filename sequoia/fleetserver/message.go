package fleetserver

import (
	"net/netip"

	"sequoiaspread.example/sequoia/registrar"
)

const (
	methodReport = "fleet/report"
	methodFetch  = "fleet/fetch"
)

// Entry describes one entry VM.
type Entry struct {
	Name   string `json:"name"`
	Zone   string `json:"zone"`
	Region string `json:"region"`
	// Callers is where callers connect, Peers where other entry VMs forward requests to.
	Callers netip.AddrPort `json:"callers"`
	Peers   netip.AddrPort `json:"peers"`
	// Stopping is set from the start of a planned stop.
	Stopping bool `json:"stopping,omitempty"`
	// Load is what the VM sees of the upstreams in its region, by service.
	Load map[string]Load `json:"load,omitempty"`
}

// Load is the use of the upstreams of one service in one region.
type Load struct {
	// Running and Queued are requests, as upstreams reported them and with what this VM sent since.
	Running int `json:"running"`
	Queued  int `json:"queued"`
	// Slots is the number of requests that the usable upstreams run at the same time.
	Slots int `json:"slots"`
}

// Report is the heartbeat of an entry VM.
type Report struct {
	Entry Entry `json:"entry"`
}

// Reply tells an entry VM what is in force; the state itself is fetched when Revision is new.
type Reply struct {
	Revision uint64 `json:"revision"`
	// Coordinators are the rpc addresses of all members of the agreement.
	Coordinators []netip.AddrPort `json:"coordinators"`
	Fleet        []Entry          `json:"fleet"`
}

// State is what is in force at a coordinator.
type State = registrar.State
