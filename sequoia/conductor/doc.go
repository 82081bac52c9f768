// Package conductor runs the process of an entry VM: its listeners, its heartbeats to the coordinators, and its
// graceful drain, in which callers are directed to other VMs before the last request ends.
package conductor
