// Package isolator limits the number of upstreams that a request can crash.
//
// Requests are identified by a fingerprint. Copies of a fingerprint that has never completed on this gateway run on the
// same upstream. After a crash, every fingerprint in the batch that has never completed is suspected and gets a trial:
// it runs once on an upstream without other requests. A complete answer clears it, a second crash confirms it, and
// confirmed fingerprints are refused.
//
// One gateway loses at most 2 upstreams to a fingerprint: the first crash and the trial. Gateways share their findings.
// Until the first crash is known everywhere, each gateway that is running a copy may lose one upstream, so an
// availability zone with g gateways loses at most g+1, or 2 if the copies arrive one after another. A fingerprint that
// completed before its first crash is suspected only at its second crash and may cost one more. After MaxLostUpstreams
// losses in total, a fingerprint is refused everywhere, even without a trial.
package isolator
