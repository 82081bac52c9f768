// Package admitter decides when a request may go to an upstream, and refuses early what cannot meet its target.
//
// Each rank has a guaranteed share of the work done, in both directions: a flood of one rank leaves the other its
// share, and an unused share is lent to whoever has work. Within a rank, organisations share by weight. All queues
// are bounded. A few slots stay free for the arrivals of more urgent ranks, in proportion to their recent demand.
package admitter
