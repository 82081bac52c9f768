package estimator

import "time"

// Upstream identifies one incarnation of an upstream.
type Upstream struct {
	Name        string
	Zone        string
	Incarnation uint64
}

// Digest identifies the prefix of a prompt that ends with one block of its tokens.
type Digest uint64

// Message is an event about an upstream; Subject returns its name.
type Message interface {
	Subject() string
}

// Class groups requests with similar answer lengths.
type Class struct {
	Service string
	Rank    int
}

// UpstreamAdded reports an upstream, its models and its batch size.
type UpstreamAdded struct {
	Upstream   Upstream
	Models     []string
	BatchLimit int
}

// LoadReport is the load that an upstream reported at the time At.
type LoadReport struct {
	Upstream Upstream
	At       time.Time
	Running  int
	Waiting  int
}

// RequestSent reports a request sent by this process. HitTokens of its PromptTokens are expected in the prefix cache.
type RequestSent struct {
	Upstream     Upstream
	RequestID    string
	Class        Class
	PromptTokens int
	HitTokens    int
	Prefix       []Digest // one digest per complete block, first block first
}

// FirstToken reports that the first token of a request of this process arrived.
type FirstToken struct {
	Upstream  Upstream
	RequestID string
}

// RequestCompleted reports that a request of this process ended with a complete answer of OutputTokens.
type RequestCompleted struct {
	Upstream     Upstream
	RequestID    string
	OutputTokens int
}

// RequestFailed reports that a request of this process ended without a complete answer.
type RequestFailed struct {
	Upstream  Upstream
	RequestID string
}

// PeerLoad is the number of requests that another VM reported to have in flight on an upstream at the time At. While
// the loads of all other VMs are known, reports of the upstream are not needed.
type PeerLoad struct {
	Upstream Upstream
	VM       string
	At       time.Time
	InFlight int
}

// UpstreamRemoved reports that an upstream no longer exists.
type UpstreamRemoved struct {
	Upstream Upstream
}

// Subject returns the name of the upstream.
func (m UpstreamAdded) Subject() string { return m.Upstream.Name }

// Subject returns the name of the upstream.
func (m LoadReport) Subject() string { return m.Upstream.Name }

// Subject returns the name of the upstream.
func (m RequestSent) Subject() string { return m.Upstream.Name }

// Subject returns the name of the upstream.
func (m FirstToken) Subject() string { return m.Upstream.Name }

// Subject returns the name of the upstream.
func (m RequestCompleted) Subject() string { return m.Upstream.Name }

// Subject returns the name of the upstream.
func (m RequestFailed) Subject() string { return m.Upstream.Name }

// Subject returns the name of the upstream.
func (m PeerLoad) Subject() string { return m.Upstream.Name }

// Subject returns the name of the upstream.
func (m UpstreamRemoved) Subject() string { return m.Upstream.Name }
