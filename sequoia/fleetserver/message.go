package fleetserver

import (
	"net/netip"
	"time"

	"sequoiaspread.example/sequoia/dispatcher"
	"sequoiaspread.example/sequoia/isolator"
	"sequoiaspread.example/sequoia/lessor"
	"sequoiaspread.example/sequoia/registrar"
)

const (
	methodHeartbeat     = "fleet/report"
	methodAppliedState  = "fleet/fetch"
	methodReplayedState = "fleet/logged"
	methodAddStreams    = "fleet/add-streams"
	methodFindStream    = "fleet/find-stream"
	methodLease         = "fleet/lease"
)

// EntryVM describes one entry VM.
type EntryVM struct {
	Name   string `json:"name"`
	Zone   string `json:"zone"`
	Region string `json:"region"`
	// CallerAddress accepts connections of callers; PeerAddress accepts requests forwarded by other entry VMs.
	CallerAddress netip.AddrPort `json:"callers"`
	PeerAddress   netip.AddrPort `json:"peers"`
	// GossipAddress receives the load updates of the entry VMs of the region.
	GossipAddress netip.AddrPort `json:"gossip"`
	// Stopping is set while the VM drains.
	Stopping bool `json:"stopping,omitempty"`
}

// Load is the load of the upstreams of one service in one region.
type Load struct {
	// Pressure is dispatcher.Usage.Pressure, in units of 1/PressureScale.
	Pressure int `json:"pressure"`
}

// PressureScale converts a pressure to the integer of a Load.
const PressureScale = 100

// unavailableLoad is the load of a service without a usable upstream.
var unavailableLoad = Load{Pressure: dispatcher.UnavailablePressure * PressureScale}

// unavailable reports whether the service has no usable upstream.
func (l Load) unavailable() bool {
	return l.Pressure >= unavailableLoad.Pressure
}

// Loads are the loads of one region by service name.
type Loads map[string]Load

// Heartbeat tells a coordinator that an entry VM is live, and reports its loads and losses.
type Heartbeat struct {
	Name     string `json:"name"`
	Stopping bool   `json:"stopping,omitempty"`
	// EntryVM is set until the coordinator knows the VM.
	EntryVM *EntryVM `json:"entry,omitempty"`
	Loads   Loads    `json:"loads,omitempty"`
	// Losses are the upstreams that recently failed while they processed requests of this VM's callers.
	Losses []isolator.Loss `json:"losses,omitempty"`
	// Crashes are the upstreams that crashed lately, with what this VM lost on each.
	Crashes []isolator.Crash `json:"crashes,omitempty"`
	// Completions are those of the parts that this coordinator suspects.
	Completions []isolator.Completion `json:"completions,omitempty"`
	// Evidence is that against blocked parts that this coordinator does not block.
	Evidence []isolator.Suspicion `json:"evidence,omitempty"`
	// FleetDigest and UpstreamsDigest identify the data that the VM already has, so that only changes are sent.
	FleetDigest     uint64 `json:"fleet,omitempty"`
	UpstreamsDigest uint64 `json:"upstreams,omitempty"`
	// Versions are the software versions of each service in the region of the VM. They are left out while the coordinator
	// has been told lately.
	Versions map[string][]string `json:"versions,omitempty"`
	// SoleVersions means that the VM knows of no other versions for as long as callers come back to a stream.
	SoleVersions bool `json:"sole-versions,omitempty"`
	// AppliesUpdates is set by VMs that apply an update of the fleet which has a base.
	AppliesUpdates bool `json:"updates,omitempty"`
	// Demand is that of the organisations with a rate limit. It is sent to the leader only.
	Demand *lessor.Report `json:"demand,omitempty"`
}

// LeaseRequest is a report of demand between two heartbeats.
type LeaseRequest struct {
	Name   string         `json:"name"`
	Demand *lessor.Report `json:"demand"`
}

// LeaseReply is the reply to a LeaseRequest. Lease is nil if the coordinator does not lead.
type LeaseReply struct {
	Lease *lessor.Grant `json:"lease,omitempty"`
}

// HeartbeatReply holds the revision of the applied state. The VM fetches the state itself when Revision is new.
type HeartbeatReply struct {
	Revision uint64 `json:"revision"`
	// LogPosition is set while this coordinator is a restarted voter whose state no leader has confirmed.
	LogPosition *LogPosition `json:"logged,omitempty"`
	// Unconfirmed is set while no leader has confirmed the state of this coordinator since its start.
	Unconfirmed bool `json:"unconfirmed,omitempty"`
	// UnknownVM asks the VM to send its description.
	UnknownVM bool `json:"unknown,omitempty"`
	// Fleet is set if its digest differs from the VM's, to the whole fleet or to an update of the one that the VM has.
	Fleet *Fleet `json:"fleet,omitempty"`
	// RegionLoads are the loads of all regions by region name.
	RegionLoads map[string]Loads `json:"regions,omitempty"`
	// BlockedRequests are the fingerprints of requests that crash upstreams.
	BlockedRequests []isolator.Fingerprint `json:"refused,omitempty"`
	// Suspicions are the parts of prompts that may crash upstreams.
	Suspicions []isolator.Suspicion `json:"suspicions,omitempty"`
	// Versions are those of the services of which several versions were seen lately, in any region.
	Versions map[string][]string `json:"versions,omitempty"`
	// CompleteVersions means that the coordinator has missed no version that can have begun a stream.
	CompleteVersions bool `json:"complete-versions,omitempty"`
	// PendingVersions are the versions of services that may not begin streams yet, with the time until they may, or 0 if
	// that is not known. All others that the coordinator was told may.
	PendingVersions map[string]map[string]time.Duration `json:"pending-versions,omitempty"`
	// UpstreamList is set by coordinators of the VM's region that have recently read the list.
	UpstreamList *UpstreamList `json:"listing,omitempty"`
	// Lease is set by the leader while the document has rate limits.
	Lease *lessor.Grant `json:"lease,omitempty"`
}

// LogPosition is the position of the end of the log of a restarted voter. Acknowledged changes are in the logs of a
// majority, so the most advanced log of any majority of the voters contains all of them.
type LogPosition struct {
	Term   uint64 `json:"term"`
	Index  uint64 `json:"index"`
	Voters int    `json:"voters"`
}

// Before reports whether the position is less advanced than another one.
func (p LogPosition) Before(other LogPosition) bool {
	return p.Term < other.Term || p.Term == other.Term && p.Index < other.Index
}

// UpstreamList is the list of upstreams of a region. Upstreams is set only if its digest differs from the VM's.
type UpstreamList struct {
	Digest    uint64                `json:"digest"`
	Upstreams []dispatcher.Upstream `json:"upstreams,omitempty"`
	// Age is the time since the coordinator read the list.
	Age time.Duration `json:"age,omitempty"`
	// ColdRemaining is the time for which upstreams stay cold, by upstream id.
	ColdRemaining map[string]time.Duration `json:"cold,omitempty"`
	// LeavingFor is the time for which upstreams have been listed as leaving at most, by upstream id. Those that the
	// coordinator has never listed otherwise are left out.
	LeavingFor map[string]time.Duration `json:"leaving,omitempty"`
}

// State is the state applied by a coordinator.
type State = registrar.State
