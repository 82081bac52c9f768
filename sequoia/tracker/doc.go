// Package tracker keeps the membership table of one process: which entry VMs are live, suspect, stopping or dead.
//
// Each VM probes one VM of its availability zone per interval and spreads changes with the probes, so the cost of a VM
// does not grow with their number. Other availability zones are known by aggregates that age out.
package tracker
