package estimator

import "time"

// Config sets the number of VMs, the expected performance of upstreams and the timeouts.
type Config struct {
	Senders       int           // VMs that send to the same upstreams, including this one
	PrefillRate   float64       // prompt tokens per second of an upstream at normal speed
	StepTime      time.Duration // duration of a batch step at normal speed
	DecodeTokens  float64       // initial answer length of a class, in tokens
	PrefillWeight float64       // work of a prompt token relative to a decoded token
	PeerTimeout   time.Duration // age at which loads reported by other VMs expire
	ReportTimeout time.Duration // age at which the report of an upstream expires
}

// Defaults of Config, for an engine with an inter-token latency of 29 ms at a full batch.
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
