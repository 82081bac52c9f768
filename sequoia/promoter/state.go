package promoter

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"errors"
	"io"
	"maps"
	"slices"
	"time"
)

const (
	// defaultOutcomeRetention is the time for which a resend gets the stored outcome.
	defaultOutcomeRetention = 30 * 24 * time.Hour
	// defaultOutcomeLimit bounds the memory that stored outcomes take.
	defaultOutcomeLimit = 40_000
	// historyLimit bounds the promotions kept for the history and for naming conflicts: 40 days at 950 changes a day.
	historyLimit = 40_000
	// trialLimit bounds the trials that are kept for later promotions.
	trialLimit = 1_000
	// maxSnapshotBytes bounds the decompressed size of a snapshot from a peer.
	maxSnapshotBytes = 128 << 20
)

// Config holds the bounds of a Promoter; zero values select the defaults.
type Config struct {
	OutcomeRetention time.Duration
	OutcomeLimit     int
}

// Promoter is one replica of the state machine.
type Promoter struct {
	config              Config
	state               state
	outcomesByRequestID map[string]storedOutcome
	triedDigests        map[string]bool
}

// state is the part of a Promoter that is stored in snapshots.
type state struct {
	Clock            time.Duration   `json:"clock"`
	Text             []byte          `json:"text"`
	History          []Promotion     `json:"history"`
	Trials           []string        `json:"trials"`
	Outcomes         []storedOutcome `json:"outcomes"`
	Lease            Lease           `json:"lease"`
	LastFencingToken uint64          `json:"fencing"`
	Views            map[string]View `json:"views"`
	Lost             map[string]bool `json:"lost"`
}

// Genesis is the initial state of every member.
type Genesis struct {
	Text    []byte
	Version uint64
	Digest  string
	Views   []View
}

// New returns a Promoter in the initial state.
func New(config Config, genesis Genesis) *Promoter {
	if config.OutcomeRetention == 0 {
		config.OutcomeRetention = defaultOutcomeRetention
	}
	if config.OutcomeLimit == 0 {
		config.OutcomeLimit = defaultOutcomeLimit
	}
	p := &Promoter{config: config}
	p.state.Views = map[string]View{}
	p.state.Lost = map[string]bool{}
	if genesis.Version > 0 {
		p.state.Text = genesis.Text
		p.state.History = []Promotion{{Version: genesis.Version, Digest: genesis.Digest, Operator: "init"}}
	}
	for _, view := range genesis.Views {
		p.state.Views[view.Zone] = view
	}
	p.rebuildIndexes()
	return p
}

// Version returns the current version, 0 when there is none.
func (p *Promoter) Version() uint64 {
	if len(p.state.History) == 0 {
		return 0
	}
	return p.currentPromotion().Version
}

// Document returns the text of the current version and its number.
func (p *Promoter) Document() ([]byte, uint64) {
	return p.state.Text, p.Version()
}

// History returns the accepted promotions, oldest first.
func (p *Promoter) History() []Promotion {
	return slices.Clone(p.state.History)
}

// Lease returns the ordering lease.
func (p *Promoter) Lease() Lease {
	return p.state.Lease
}

// View returns the view of an availability zone's idempotency records.
func (p *Promoter) View(zone string) (View, bool) {
	view, ok := p.state.Views[zone]
	return view, ok
}

// Views returns all views, sorted by availability zone.
func (p *Promoter) Views() []View {
	views := make([]View, 0, len(p.state.Views))
	for _, zone := range slices.Sorted(maps.Keys(p.state.Views)) {
		views = append(views, p.state.Views[zone])
	}
	return views
}

// IsLost reports whether a member was declared lost by a new epoch.
func (p *Promoter) IsLost(member string) bool {
	return p.state.Lost[member]
}

// Snapshot returns the whole state. It is compressed, because it must fit into one message when the stored outcomes and
// the history are at their limits.
func (p *Promoter) Snapshot() ([]byte, error) {
	var buffer bytes.Buffer
	writer := gzip.NewWriter(&buffer)
	err := errors.Join(json.NewEncoder(writer).Encode(p.state), writer.Close())
	if err != nil {
		return nil, newError("take snapshot", KindInvalidSnapshot, err.Error())
	}
	return buffer.Bytes(), nil
}

// Restore replaces the state by that of a snapshot.
func (p *Promoter) Restore(data []byte) error {
	reader, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return newError("restore snapshot", KindInvalidSnapshot, err.Error())
	}
	var next state
	if err := json.NewDecoder(io.LimitReader(reader, maxSnapshotBytes)).Decode(&next); err != nil {
		return newError("restore snapshot", KindInvalidSnapshot, err.Error())
	}
	if next.Views == nil {
		next.Views = map[string]View{}
	}
	if next.Lost == nil {
		next.Lost = map[string]bool{}
	}
	p.state = next
	p.rebuildIndexes()
	return nil
}

func (p *Promoter) currentPromotion() Promotion {
	return p.state.History[len(p.state.History)-1]
}

// rebuildIndexes rebuilds the look-up tables, which are not stored in snapshots.
func (p *Promoter) rebuildIndexes() {
	p.outcomesByRequestID = make(map[string]storedOutcome, len(p.state.Outcomes))
	for _, each := range p.state.Outcomes {
		p.outcomesByRequestID[each.RequestID] = each
	}
	p.triedDigests = make(map[string]bool, len(p.state.Trials))
	for _, digest := range p.state.Trials {
		p.triedDigests[digest] = true
	}
}
