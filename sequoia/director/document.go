package director

import "time"

// Class says what may be repeated of a request.
type Class string

// Classes of requests.
const (
	// ClassSafe requests may run more than once.
	ClassSafe Class = "safe"
	// ClassUnsafe requests run at most once.
	ClassUnsafe Class = "unsafe"
	// ClassStream requests are answered with events; they run at most once unless their route is resumable.
	ClassStream Class = "stream"
)

// Document is what the operators want in force; a higher version replaces a lower one as a whole.
type Document struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
}

// Route sends the requests of a host below a path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Class  Class
	// Timeout is the longest time for which a caller is kept waiting.
	Timeout time.Duration
	// Objective is the time to the answer, for streams to the first event, that counts as good.
	Objective time.Duration
	// Gap is the longest pause between events that counts as good.
	Gap time.Duration
	// Rank is 0 for the most urgent requests.
	Rank   int
	Shares []Share
	// Attempts is the number of upstreams that one request may be sent to.
	Attempts int
	// Described requests state their model, prompt parts and token counts.
	Described bool
	// Resumable streams may be continued by another upstream.
	Resumable bool
	// Homes are the regions that may process the request; empty means all.
	HomeRegions []string
}

// Share is the weight of a service among those of a route.
type Share struct {
	Service string
	Weight  int
}

// Service is a group of equal upstreams.
type Service struct {
	Name       string
	HealthPath string
	// Connections is the number that one upstream accepts from all callers together.
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
	// Memory is the KV cache in tokens.
	KVCacheTokens int
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Repeatable reports whether a request of the route may be sent again after it may have run.
func (r Route) Retryable() bool {
	return r.Class == ClassSafe || (r.Class == ClassStream && r.Resumable)
}

// Allows reports whether a region may process requests of the route.
func (r Route) AllowsRegion(region string) bool {
	if len(r.HomeRegions) == 0 {
		return true
	}
	for _, home := range r.HomeRegions {
		if home == region {
			return true
		}
	}
	return false
}
