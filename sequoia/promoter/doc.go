// Package promoter is the replicated state machine of the controllers: document versions, outcomes of requests,
// the ordering lease, fencing numbers, and the views and epochs of booking records. It is deterministic: equal
// commands in equal order give equal states on every replica.
package promoter
