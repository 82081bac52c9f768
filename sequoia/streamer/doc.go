// Package streamer relays one answer from upstream attempts to a caller without a gap, a repeated chunk or a chunk of
// an attempt that was given up.
package streamer
