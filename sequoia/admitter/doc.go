// Package admitter implements admission control: it queues requests until an upstream slot is free and refuses early
// those that cannot meet their latency target.
//
// Each rank has a guaranteed share of the work, whichever rank floods the pool; unused shares are lent to ranks with
// queued requests. Within a rank, organisations share by weight (start-time fair queueing). All queues are bounded. A
// few slots stay free for arrivals of more urgent ranks, in proportion to their recent demand.
package admitter
