// Package fleetserver carries the reports of entry VMs to the coordinators and, in the replies, the state in force and
// the other live entry VMs. It holds the handler, the client and the table of live entry VMs.
package fleetserver
