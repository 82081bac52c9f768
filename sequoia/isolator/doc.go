// Package isolator limits how many upstreams a request can crash.
//
// Requests are known by fingerprint. Copies of one that never completed here run on one upstream. After a crash every
// fingerprint in the batch that never completed is suspected, and is tried once on an upstream of its own: a whole
// answer clears it, a second crash confirms it, and only confirmed ones are refused.
//
// Bounds: one gateway loses at most 2 upstreams to one fingerprint, the one that crashed first and the one of the
// trial. Gateways share what they learn; until the first crash is known to all, each gateway that runs a copy at that
// moment may lose one, so an availability zone with g gateways loses at most g+1, and 2 when copies arrive one after
// another. One that completed before and only then crashes is suspected at its second crash, so it may cost one more.
// In all, LossBound losses refuse a fingerprint everywhere, even without a trial.
package isolator
