package director

import "time"

// Class defines how a request may be retried.
type Class string

// Classes of requests.
const (
	// ClassSafe requests may run more than once.
	ClassSafe Class = "safe"
	// ClassUnsafe requests run at most once.
	ClassUnsafe Class = "unsafe"
	// ClassStream requests are answered with a stream of events; they run at most once unless their route is resumable.
	ClassStream Class = "stream"
)

// Document is the configuration that the operators have set; a higher version replaces a lower one as a whole.
type Document struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
	// Organisations may be empty, in which case requests belong to none.
	Organisations []Organisation
}

// Route maps the requests of a host below a path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Class  Class
	// Timeout is the longest time that a request may take.
	Timeout time.Duration
	// Objective is the target for the time to the answer, or to the first event of a stream.
	Objective time.Duration
	// Gap is the target for the longest pause between events.
	Gap time.Duration
	// Rank is the priority of the requests; 0 is the most urgent.
	Rank   int
	Shares []Share
	// Attempts is the number of upstreams that one request may be sent to.
	Attempts int
	// Described requests state their model, prompt parts and token counts.
	Described bool
	// Resumable streams may be continued by another upstream.
	Resumable bool
	// HomeRegions are the regions that may process the request; empty means all.
	HomeRegions []string
	// AllowAnonymous routes serve requests without a known key.
	AllowAnonymous bool
}

// Share is the weight of one service of a route.
type Share struct {
	Service string
	Weight  int
}

// Service is a group of equivalent upstreams.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is the number of connections that one upstream accepts from all clients together.
	MaxConnections int
	// ColdTime is how long an upstream stays cold after its start.
	ColdTime time.Duration
	// ColdRate is the number of requests per second that a cold upstream tolerates.
	ColdRate float64
	// Engine is set for services that run models.
	Engine *Engine
}

// Engine describes the model engine of a service.
type Engine struct {
	// Slots is the number of requests that run in one batch.
	Slots int
	// KVCacheTokens is the size of the KV cache in tokens.
	KVCacheTokens int
}

// Limits are the limits for requests of callers.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Retryable reports whether a request of the route may be sent again after it may have run.
func (r Route) Retryable() bool {
	return r.Class == ClassSafe || (r.Class == ClassStream && r.Resumable)
}

// AllowsRegion reports whether a region may process requests of the route.
func (r Route) AllowsRegion(region string) bool {
	return allowsRegion(r.HomeRegions, region)
}
