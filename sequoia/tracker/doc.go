// Package tracker maintains the membership table of one process: which entry VMs are live, suspect, stopping or dead.
//
// It implements a SWIM-style gossip protocol. Each VM probes one VM of its availability zone per interval and attaches
// membership changes to the probes, so the traffic of a VM does not grow with the number of VMs. Other availability
// zones are known only by aggregates that expire.
package tracker
