package isolator

import (
	"slices"
	"time"
)

const (
	// MaxLostUpstreams is the total number of lost upstreams at which a fingerprint is refused without a trial.
	MaxLostUpstreams = 3
	// SuspicionTTL is how long a fingerprint stays suspected without another crash.
	SuspicionTTL = 10 * time.Minute
	// RefusalTTL is how long a confirmed fingerprint is refused.
	RefusalTTL = time.Hour
	// trialRetryAfter is the retry delay while a trial is running.
	trialRetryAfter = 2 * time.Second
	// maxHarmless bounds the number of fingerprints remembered as harmless.
	maxHarmless = 1 << 16
)

// suspicion is the state of a suspected fingerprint.
type suspicion struct {
	lost         []Upstream
	confirmed    bool
	expires      time.Time
	trialRequest string // ID of the request of a running trial
}

// inFlightRequest is a request in flight.
type inFlightRequest struct {
	id          string
	fingerprint Fingerprint
	upstream    Upstream
	exclusive   bool
}

// Isolator holds the fingerprints that one gateway suspects. It is not safe for concurrent use.
type Isolator struct {
	suspicions     map[Fingerprint]*suspicion
	inFlight       map[string]inFlightRequest
	harmless       map[Fingerprint]struct{}
	harmlessOrder  []Fingerprint // ring buffer of harmless, oldest at oldestHarmless once full
	oldestHarmless int
}

// New returns an Isolator without suspected fingerprints.
func New() *Isolator {
	return &Isolator{
		suspicions: map[Fingerprint]*suspicion{},
		inFlight:   map[string]inFlightRequest{},
		harmless:   map[Fingerprint]struct{}{},
	}
}

// Step applies a message and returns the findings to send to other gateways.
func (iso *Isolator) Step(now time.Time, m Message) []Effect {
	switch m := m.(type) {
	case Started:
		iso.requestStarted(m)
	case Ended:
		return iso.requestEnded(m)
	case Crashed:
		return iso.upstreamCrashed(now, m)
	case PeerFinding:
		iso.applyPeerFinding(now, m)
	}
	return nil
}

// Tick removes expired suspicions.
func (iso *Isolator) Tick(now time.Time) {
	for f, entry := range iso.suspicions {
		if now.After(entry.expires) && entry.trialRequest == "" {
			delete(iso.suspicions, f)
		}
	}
}

// Evaluate returns how a request may run now.
func (iso *Isolator) Evaluate(now time.Time, f Fingerprint) Verdict {
	entry, ok := iso.suspicions[f]
	switch {
	case ok && now.After(entry.expires) && entry.trialRequest == "":
		return Verdict{Kind: VerdictUnrestricted}
	case ok && (entry.confirmed || len(entry.lost) >= MaxLostUpstreams):
		return Verdict{Kind: VerdictRefuse, RetryAfter: entry.expires.Sub(now)}
	case ok && iso.countRunning(f) > 0:
		return Verdict{Kind: VerdictWait, RetryAfter: trialRetryAfter}
	case ok:
		return Verdict{Kind: VerdictExclusive}
	}
	return iso.evaluateUnsuspected(f)
}

// evaluateUnsuspected directs copies of a fingerprint that has never completed to the same upstream.
func (iso *Isolator) evaluateUnsuspected(f Fingerprint) Verdict {
	if _, ok := iso.harmless[f]; ok {
		return Verdict{Kind: VerdictUnrestricted}
	}
	for _, req := range iso.inFlight {
		if req.fingerprint == f {
			return Verdict{Kind: VerdictSameUpstream, Upstream: req.upstream}
		}
	}
	return Verdict{Kind: VerdictUnrestricted}
}

func (iso *Isolator) countRunning(f Fingerprint) int {
	count := 0
	for _, req := range iso.inFlight {
		if req.fingerprint == f {
			count++
		}
	}
	return count
}

func (iso *Isolator) requestStarted(m Started) {
	iso.inFlight[m.RequestID] = inFlightRequest{id: m.RequestID, fingerprint: m.Fingerprint, upstream: m.Upstream, exclusive: m.Exclusive}
	if entry, ok := iso.suspicions[m.Fingerprint]; ok && m.Exclusive {
		entry.trialRequest = m.RequestID
	}
}

func (iso *Isolator) requestEnded(m Ended) []Effect {
	req, ok := iso.inFlight[m.RequestID]
	if !ok {
		return nil
	}
	delete(iso.inFlight, m.RequestID)
	entry, suspected := iso.suspicions[req.fingerprint]
	if suspected && entry.trialRequest == m.RequestID {
		entry.trialRequest = ""
	}
	if !m.Complete {
		return nil
	}
	iso.markHarmless(req.fingerprint)
	if !suspected || entry.confirmed {
		return nil
	}
	delete(iso.suspicions, req.fingerprint)
	return []Effect{Finding{Fingerprint: req.fingerprint, Cleared: true}}
}

func (iso *Isolator) upstreamCrashed(now time.Time, m Crashed) []Effect {
	var effects []Effect
	for _, req := range iso.requestsOn(m.Upstream) {
		delete(iso.inFlight, req.id)
		if _, ok := iso.harmless[req.fingerprint]; ok && !req.exclusive {
			iso.forgetHarmless(req.fingerprint)
			continue
		}
		entry := iso.addLosses(now, req.fingerprint, []Upstream{req.upstream})
		if req.exclusive {
			entry.confirmed = true
			entry.expires = now.Add(RefusalTTL)
			entry.trialRequest = ""
			iso.forgetHarmless(req.fingerprint)
		}
		effects = append(effects, Finding{Fingerprint: req.fingerprint, Lost: slices.Clone(entry.lost), Confirmed: entry.confirmed})
	}
	return effects
}

// requestsOn returns the requests in flight on an upstream, ordered by request ID.
func (iso *Isolator) requestsOn(u Upstream) []inFlightRequest {
	var found []inFlightRequest
	for _, req := range iso.inFlight {
		if req.upstream == u {
			found = append(found, req)
		}
	}
	slices.SortFunc(found, func(a, b inFlightRequest) int {
		if a.id < b.id {
			return -1
		}
		return 1
	})
	return found
}

// addLosses adds lost upstreams to the suspicion of a fingerprint. Each upstream counts once.
func (iso *Isolator) addLosses(now time.Time, f Fingerprint, lost []Upstream) *suspicion {
	entry, ok := iso.suspicions[f]
	if !ok {
		entry = &suspicion{}
		iso.suspicions[f] = entry
	}
	for _, u := range lost {
		if !slices.Contains(entry.lost, u) {
			entry.lost = append(entry.lost, u)
		}
	}
	if expires := now.Add(SuspicionTTL); expires.After(entry.expires) {
		entry.expires = expires
	}
	return entry
}

func (iso *Isolator) applyPeerFinding(now time.Time, m PeerFinding) {
	f := m.Finding.Fingerprint
	if m.Finding.Cleared {
		if entry, ok := iso.suspicions[f]; ok && !entry.confirmed {
			delete(iso.suspicions, f)
		}
		iso.markHarmless(f)
		return
	}
	entry := iso.addLosses(now, f, m.Finding.Lost)
	if m.Finding.Confirmed && !entry.confirmed {
		entry.confirmed = true
		entry.expires = now.Add(RefusalTTL)
	}
}

// forgetHarmless removes a fingerprint from the harmless ones, so that it is suspected at its next crash.
func (iso *Isolator) forgetHarmless(f Fingerprint) {
	delete(iso.harmless, f)
}

// markHarmless remembers a fingerprint as harmless and evicts the oldest one at the limit.
func (iso *Isolator) markHarmless(f Fingerprint) {
	if _, ok := iso.harmless[f]; ok {
		return
	}
	iso.harmless[f] = struct{}{}
	if len(iso.harmlessOrder) < maxHarmless {
		iso.harmlessOrder = append(iso.harmlessOrder, f)
		return
	}
	delete(iso.harmless, iso.harmlessOrder[iso.oldestHarmless])
	iso.harmlessOrder[iso.oldestHarmless] = f
	iso.oldestHarmless = (iso.oldestHarmless + 1) % maxHarmless
}
