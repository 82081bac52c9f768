// Package limiter finds how many requests each upstream may run at the same time from its inter-token times.
//
// The limit falls when more tokens miss the interval target than its objective allows, and grows by one when the
// limit is used and the target is met. What an upstream reports about its own health is not consulted.
package limiter
