package estimator

import "time"

// Config sets the priors that own observations replace.
type Config struct {
	Senders       int           // VMs that send to the same upstreams, this one included
	PrefillRate   float64       // prompt tokens per second of one upstream before any observation
	StepTime      time.Duration // time of one batch step before any observation
	DecodeTokens  float64       // answer length of a class before any observation, in tokens
	PrefillWeight float64       // work of one prompt token over that of one decoded token
	PeerTimeout   time.Duration // age at which statements of other VMs no longer count
	ReportTimeout time.Duration // age at which a report no longer counts
}

// Defaults of Config, for an engine that meets 29 ms between tokens at a full batch.
const (
	DefaultPrefillRate   = 9000.0
	DefaultStepTime      = 25 * time.Millisecond
	DefaultDecodeTokens  = 150.0
	DefaultPrefillWeight = 0.025
	DefaultPeerTimeout   = 2 * time.Second
	DefaultReportTimeout = 10 * time.Second
)

func (c Config) withDefaults() Config {
	c.Senders = max(c.Senders, 1)
	if c.PrefillRate <= 0 {
		c.PrefillRate = DefaultPrefillRate
	}
	if c.StepTime <= 0 {
		c.StepTime = DefaultStepTime
	}
	if c.DecodeTokens <= 0 {
		c.DecodeTokens = DefaultDecodeTokens
	}
	if c.PrefillWeight <= 0 {
		c.PrefillWeight = DefaultPrefillWeight
	}
	if c.PeerTimeout <= 0 {
		c.PeerTimeout = DefaultPeerTimeout
	}
	if c.ReportTimeout <= 0 {
		c.ReportTimeout = DefaultReportTimeout
	}
	return c
}
