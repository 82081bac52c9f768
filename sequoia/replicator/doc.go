// Package replicator implements the Raft consensus protocol as a pure state machine: leader election with pre-vote and
// quorum check, a replicated log with snapshots, learners, and membership changes by joint consensus. It has no
// goroutine, clock, socket or file: inputs arrive through Step and Tick, which return the effects to perform in order.
package replicator
