// Package promoter is the replicated state machine of the controllers: document versions, outcomes of requests, the
// ordering lease with its fencing tokens, and the views and epochs of idempotency records. It is deterministic: the
// same commands in the same order give the same state on every replica.
package promoter
