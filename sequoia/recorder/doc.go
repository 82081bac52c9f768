// Package recorder implements the replicated store of idempotency records of an availability zone. It decides which
// calls of a non-idempotent operation may be sent to an upstream, so that each idempotency key is executed at most
// once.
//
// The members of an availability zone's record group replicate the records from a primary, in the manner of Viewstamped
// Replication. The views (the member list and the primary) are decided elsewhere, by a consensus group.
//
// A Recorder is a deterministic state machine without I/O: Step and Tick take the time and a message and return
// effects, which the embedding program performs in order. All Persist effects of a step must be synced to disk before
// any other effect of that step is performed. When a Persist fails, the program must exit without performing the rest.
package recorder
