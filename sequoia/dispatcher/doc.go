// Package dispatcher chooses the upstream of a request in one region. It is pure: the list of upstreams, their reports
// and the ends of requests go in, choices come out.
//
// It answers three patterns of load: many callers that share the beginnings of their prompts (an upstream that has read
// a part is preferred until its queue costs more than reading again), a peak that fills every batch (upstreams take
// work up to a bounded queue, the rest is refused at once), and upstreams that return cold (one entry VM feeds each
// of them, below the rate that the service tolerates).
package dispatcher
