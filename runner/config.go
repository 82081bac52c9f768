package main

import "time"

// Config holds the settings of an Engine.
type Config struct {
	VM                   string
	Models               []string
	WeightStore          string
	BatchLimit           int
	MemoryTokens         int
	PrefillRate          int // prompt tokens a second
	TokenInterval        time.Duration
	SlowFactor           float64
	ColdStart            time.Duration
	ReportLag            time.Duration
	EventLag             time.Duration
	EventGap             int
	BreakEvery           int
	ChecksFencingNumbers bool
	ResumesStreams       bool
	CrashMarker          string
	LeaveNotice          time.Duration
}

// DefaultConfig returns the settings of a small engine with the delays and gaps that gateways must expect.
func DefaultConfig() Config {
	return Config{
		BatchLimit:     16,
		MemoryTokens:   64_000,
		PrefillRate:    20_000,
		TokenInterval:  10 * time.Millisecond,
		SlowFactor:     1,
		ReportLag:      500 * time.Millisecond,
		EventLag:       time.Second,
		EventGap:       50,
		ResumesStreams: true,
		LeaveNotice:    4 * time.Second,
	}
}

// step returns the time of one engine step, in which each running request gets one token.
func (c Config) step() time.Duration {
	return time.Duration(float64(c.TokenInterval) * c.SlowFactor)
}

// prefillBudget returns the prompt tokens that fit into one step.
func (c Config) prefillBudget() int {
	return max(1, int(float64(c.PrefillRate)*c.TokenInterval.Seconds()))
}
