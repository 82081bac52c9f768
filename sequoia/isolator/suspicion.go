package isolator

import (
	"encoding/base64"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// FingerprintList is a list of fingerprints that is encoded as one text.
type FingerprintList []Fingerprint

// MarshalText encodes the concatenated fingerprints.
func (l FingerprintList) MarshalText() ([]byte, error) {
	var raw []byte
	for _, f := range l {
		raw = append(raw, f[:]...)
	}
	return base64.RawStdEncoding.AppendEncode(nil, raw), nil
}

// UnmarshalText decodes the concatenated fingerprints.
func (l *FingerprintList) UnmarshalText(text []byte) error {
	raw, err := base64.RawStdEncoding.AppendDecode(nil, text)
	if err != nil || len(raw)%len(Fingerprint{}) != 0 {
		return eris.New("the text holds no list of fingerprints")
	}
	*l = nil
	for part := range slices.Chunk(raw, len(Fingerprint{})) {
		*l = append(*l, Fingerprint(part))
	}
	return nil
}

// Crash reports what one VM lost when an upstream crashed.
type Crash struct {
	// Upstream identifies one incarnation of an upstream.
	Upstream uint32 `json:"upstream"`
	// Age is the time since the crash.
	Age time.Duration `json:"age"`
	// Requests are the fingerprints of the lost requests, Parts those of the parts of their prompts.
	Requests FingerprintList `json:"requests,omitempty"`
	Parts    FingerprintList `json:"parts,omitempty"`
	// Depths holds the position in the prompt for each of Parts.
	Depths []byte `json:"depths,omitempty"`
}

// Suspicion is a part of prompts under which several upstreams crashed and that has not completed since.
type Suspicion struct {
	Part FingerprintList `json:"part"`
	// Since is the time since the first of these crashes.
	Since time.Duration `json:"since"`
	// Blocked means that requests with the part must not run.
	Blocked bool `json:"blocked,omitempty"`
	// Crashes and Depth are the evidence against a blocked part, which VMs return to a coordinator that lacks it.
	Crashes []UpstreamCrash `json:"crashes,omitempty"`
	Depth   byte            `json:"depth,omitempty"`
}

// Older returns the suspicion as of a later time.
func (s Suspicion) Older(by time.Duration) Suspicion {
	s.Since += by
	s.Crashes = slices.Clone(s.Crashes)
	for i := range s.Crashes {
		s.Crashes[i].Age += by
	}
	return s
}

// UpstreamCrash is one crash of the evidence against a part.
type UpstreamCrash struct {
	Upstream uint32        `json:"upstream"`
	Age      time.Duration `json:"age"`
}

// Completion reports that a request with a suspected part completed.
type Completion struct {
	Part FingerprintList `json:"part"`
	Age  time.Duration   `json:"age"`
}

// FindingKind is what changed for a part.
type FindingKind string

// Kinds of findings.
const (
	FindingSuspected FindingKind = "suspected"
	FindingBlocked   FindingKind = "blocked"
	FindingCleared   FindingKind = "cleared"
	FindingExplained FindingKind = "explained"
	FindingExpired   FindingKind = "expired"
)

// PartFinding is a change of the state of a part, for the log.
type PartFinding struct {
	Kind FindingKind
	Part Fingerprint
	// Upstreams is the number of upstreams that crashed under the part, Moments the number of separate moments.
	Upstreams, Moments int
	// Since is the time since the first of these crashes.
	Since time.Duration
}
