package estimator

import "time"

// Upstream identifies one life of an upstream.
type Upstream struct {
	Name        string
	Zone        string
	Incarnation uint64
}

// Digest identifies a prompt up to the end of one block of its tokens.
type Digest uint64

// Message is something learned about an upstream; Subject is the name of the upstream.
type Message interface {
	Subject() string
}

// Class groups requests whose answers have similar lengths.
type Class struct {
	Service string
	Rank    int
}

// Seen says that an upstream exists, what it serves and how many requests its batch holds.
type UpstreamAdded struct {
	Upstream   Upstream
	Models     []string
	BatchLimit int
}

// Report is the load that an upstream stated about itself at the time At.
type LoadReport struct {
	Upstream Upstream
	At       time.Time
	Running  int
	Waiting  int
}

// Sent says that this process sent a request; HitTokens of its PromptTokens are expected in the prefix cache.
type RequestSent struct {
	Upstream     Upstream
	RequestID    string
	Class        Class
	PromptTokens int
	HitTokens    int
	Prefix       []Digest // one for each whole block of the prompt, first block first
}

// FirstToken says that the first token of a request sent here arrived.
type FirstToken struct {
	Upstream  Upstream
	RequestID string
}

// Finished says that a request sent here ended with a whole answer of OutputTokens.
type RequestCompleted struct {
	Upstream     Upstream
	RequestID    string
	OutputTokens int
}

// Failed says that a request sent here ended without a whole answer.
type RequestFailed struct {
	Upstream  Upstream
	RequestID string
}

// Peer is the number of requests that another VM stated to have on an upstream at the time At; with all other VMs
// known in this way, reports of the upstream are not needed.
type PeerLoad struct {
	Upstream Upstream
	VM       string
	At       time.Time
	InFlight int
}

// Gone says that an upstream no longer exists.
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
