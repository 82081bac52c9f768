// Package coordinator implements one process of the control plane. With its peers it replicates the applied document
// and the evacuations through a consensus log on disk. It tracks the live entry VMs by their heartbeats and tells
// callers which of them to use.
package coordinator
