// Package lessee admits the requests of organisations at one entry VM by the VM's part of their rate limits. It has no
// clock, goroutine or connection of its own.
package lessee
