// Package fleetserver carries the heartbeats of entry VMs to the coordinators. The replies return the revision of the
// applied state and the live entry VMs. The package holds the handler, the client and the table of live entry VMs.
package fleetserver
