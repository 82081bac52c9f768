// Package limiter adapts the concurrency limit of each upstream to its inter-token latency.
//
// The limit is cut multiplicatively when more tokens miss the interval target than the objective allows, and raised by
// one when it is nearly used up and the target is met. Health reported by the upstream itself is ignored.
package limiter
