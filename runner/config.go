package main

import "time"

// Config holds the settings of an Engine.
type Config struct {
	VM                 string
	Models             []string
	WeightStore        string
	BatchLimit         int
	KVCapacityTokens   int
	PrefillRate        int // prompt tokens per second
	TokenInterval      time.Duration
	SlowFactor         float64
	ColdStart          time.Duration
	LoadReportInterval time.Duration
	EventDelay         time.Duration
	DropEventEvery     int // every how many cache events one is lost; 0 for never
	BreakStreamEvery   int // every how many streams one is interrupted; 0 for never
	CheckFencingTokens bool
	ResumeStreams      bool
	CrashMarker        string
	MinDrainTime       time.Duration
}

// DefaultConfig returns the settings of a small engine, with the delays and the lost cache events that gateways must
// tolerate.
func DefaultConfig() Config {
	return Config{
		BatchLimit:         16,
		KVCapacityTokens:   64_000,
		PrefillRate:        20_000,
		TokenInterval:      10 * time.Millisecond,
		SlowFactor:         1,
		LoadReportInterval: 500 * time.Millisecond,
		EventDelay:         time.Second,
		DropEventEvery:     50,
		ResumeStreams:      true,
		MinDrainTime:       4 * time.Second,
	}
}

// stepInterval returns the duration of one engine step, in which each running request generates one token.
func (c Config) stepInterval() time.Duration {
	return time.Duration(float64(c.TokenInterval) * c.SlowFactor)
}

// prefillBudget returns the number of prompt tokens that are processed in one step.
func (c Config) prefillBudget() int {
	return max(1, int(float64(c.PrefillRate)*c.TokenInterval.Seconds()))
}
