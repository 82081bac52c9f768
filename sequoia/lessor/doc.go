// Package lessor divides the leased part of the organisations' rate limits among the entry VMs by their demand. It holds
// the state of the coordinators' leader and has no clock, goroutine or connection of its own.
package lessor
