// Package gossiper exchanges the in-flight load of the entry VMs of a region over UDP. Every datagram holds the
// complete load of its sender, so a lost datagram is made up for by the next one.
package gossiper
