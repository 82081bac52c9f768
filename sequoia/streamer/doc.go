// Package streamer combines the chunks of several upstream attempts into one answer for a caller, without gaps,
// repeated chunks or chunks of abandoned attempts. It is a pure state machine: messages go in, effects come out.
package streamer
