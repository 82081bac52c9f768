// Package replicator is the agreement between controllers: leader election with pre-vote and quorum check, a
// replicated log with snapshots, learners, and changes of the membership. It has no goroutine, clock, socket or
// file: inputs arrive through Step and Tick, and everything to be done is returned as effects in order.
package replicator
