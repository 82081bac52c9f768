package fleetserver

import (
	"net/netip"
	"time"

	"sequoiaspread.example/sequoia/dispatcher"
	"sequoiaspread.example/sequoia/isolator"
	"sequoiaspread.example/sequoia/registrar"
)

const (
	methodReport = "fleet/report"
	methodFetch  = "fleet/fetch"
	methodLogged = "fleet/logged"
)

// Entry describes one entry VM.
type EntryVM struct {
	Name   string `json:"name"`
	Zone   string `json:"zone"`
	Region string `json:"region"`
	// Callers is where callers connect, Peers where other entry VMs forward requests to.
	CallerAddress netip.AddrPort `json:"callers"`
	PeerAddress   netip.AddrPort `json:"peers"`
	// Gossip is where entry VMs of the region send what they have at upstreams.
	GossipAddress netip.AddrPort `json:"gossip"`
	// Stopping is set from the start of a planned stop.
	Stopping bool `json:"stopping,omitempty"`
}

// Load is the use of the upstreams of one service in one region.
type Load struct {
	// Pressure is that of dispatcher.Usage, in hundredths.
	Pressure int `json:"pressure"`
}

// Loads are the loads of a region by service.
type Loads map[string]Load

// Report is the heartbeat of an entry VM.
type Heartbeat struct {
	Name     string `json:"name"`
	Stopping bool   `json:"stopping,omitempty"`
	// Entry is set as long as the coordinator does not know the VM.
	EntryVM *EntryVM `json:"entry,omitempty"`
	Loads   Loads    `json:"loads,omitempty"`
	// Losses are the upstreams that died under requests of this VM's callers lately.
	Losses []isolator.Loss `json:"losses,omitempty"`
	// Fleet and Upstreams are the digests of what the VM has, so that only news is sent.
	FleetDigest     uint64 `json:"fleet,omitempty"`
	UpstreamsDigest uint64 `json:"upstreams,omitempty"`
}

// Reply tells an entry VM what is in force; the state itself is fetched when Revision is new.
type HeartbeatReply struct {
	Revision uint64 `json:"revision"`
	// Logged is set while this coordinator is a voter that was restarted and has not been confirmed by a leader.
	LogPosition *LogPosition `json:"logged,omitempty"`
	// Unknown asks for the description of the VM.
	UnknownVM bool `json:"unknown,omitempty"`
	// Fleet is set when the VM has another one.
	Fleet *Fleet `json:"fleet,omitempty"`
	// Regions are the loads of all regions.
	RegionLoads map[string]Loads `json:"regions,omitempty"`
	// Refused are the fingerprints of requests that crash upstreams.
	BlockedRequests []isolator.Fingerprint `json:"refused,omitempty"`
	// Listing is set by coordinators of the VM's region that have read the list of upstreams lately.
	UpstreamList *UpstreamList `json:"listing,omitempty"`
}

// Position says how far the log of a restarted voter goes. What was acknowledged is in the logs of a majority, so the
// furthest of a majority of the voters holds all of it.
type LogPosition struct {
	Term   uint64 `json:"term"`
	Index  uint64 `json:"index"`
	Voters int    `json:"voters"`
}

// Before reports whether a log does not go as far as another one.
func (p LogPosition) Before(other LogPosition) bool {
	return p.Term < other.Term || p.Term == other.Term && p.Index < other.Index
}

// Fleet names the live entry VMs and the rpc addresses of all coordinators.
type Fleet struct {
	Digest       uint64           `json:"digest"`
	EntryVMs     []EntryVM        `json:"entries"`
	Coordinators []netip.AddrPort `json:"coordinators"`
}

// Listing is the list of upstreams of a region; Upstreams is set only when the VM has another one.
type UpstreamList struct {
	Digest    uint64                `json:"digest"`
	Upstreams []dispatcher.Upstream `json:"upstreams,omitempty"`
	// Cold is how much longer upstreams stay cold, by id.
	ColdRemaining map[string]time.Duration `json:"cold,omitempty"`
}

// State is what is in force at a coordinator.
type State = registrar.State
