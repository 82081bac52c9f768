// Command gateway runs on each entry VM. It authenticates and admits the requests of callers, routes them to upstreams
// of its availability zone or forwards them to gateways of other zones, and retries or resumes failed attempts.
//
// Gateways exchange heartbeats with their status, load and upstream observations, and poll the controllers for the
// configuration. Non-idempotent calls run at most once, under a permit of the record group that is responsible for
// their idempotency key.
package main
