// Package agreer runs one member of a consensus group: it drives the pure replicator from one goroutine, makes its
// state durable, carries its messages over jsonrpc2, and forwards commands and join requests to the leader.
package agreer
