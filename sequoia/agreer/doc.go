// Package agreer runs one member of the agreement: it feeds the pure replicator from one goroutine, makes its state
// durable, carries its messages over jsonrpc2, and passes commands and joins on to the leader.
package agreer
