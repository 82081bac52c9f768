// Package pinner remembers which software version of a service began each stream, and which versions have served lately.
// A stream may go on only at the version that began it, whichever VM its caller comes back to. It is a pure state machine
// without I/O or clocks. It handles releases in which several versions serve side by side while callers take up thousands
// of broken streams at once; while a service has a single version nothing needs to be exchanged.
package pinner
