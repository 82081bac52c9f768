package isolator

import (
	"slices"
	"time"
)

const (
	// LossBound is the number of lost upstreams in all at which a fingerprint is refused without a trial.
	MaxLostUpstreams = 3
	// SuspicionTime is how long a fingerprint stays suspected without another crash.
	SuspicionTTL = 10 * time.Minute
	// RefusalTime is how long a confirmed fingerprint is refused.
	RefusalTTL = time.Hour
	// trialWait is the retry time while a trial is running.
	trialWait = 2 * time.Second
	// provenLimit bounds the fingerprints remembered as harmless.
	provenLimit = 1 << 16
)

// suspect is the state of one suspected fingerprint.
type suspect struct {
	lost      []Upstream
	confirmed bool
	until     time.Time
	trial     string // request of the running trial
}

// flight is one request in flight.
type flight struct {
	id          string
	fingerprint Fingerprint
	upstream    Upstream
	alone       bool
}

// Isolator holds the suspected fingerprints as one gateway knows them.
type Isolator struct {
	suspects map[Fingerprint]*suspect
	flights  map[string]flight
	proven   map[Fingerprint]struct{}
	order    []Fingerprint // proven ones, oldest first from the position next
	next     int
}

// New returns an isolator without suspects.
func New() *Isolator {
	return &Isolator{
		suspects: map[Fingerprint]*suspect{},
		flights:  map[string]flight{},
		proven:   map[Fingerprint]struct{}{},
	}
}

// Step takes in one message and returns what to tell other gateways.
func (s *Isolator) Step(now time.Time, m Message) []Effect {
	switch m := m.(type) {
	case Started:
		s.started(m)
	case Ended:
		return s.ended(m)
	case Crashed:
		return s.crashed(now, m)
	case PeerFinding:
		s.learned(now, m)
	}
	return nil
}

// Tick drops suspicions that ended.
func (s *Isolator) Tick(now time.Time) {
	for f, x := range s.suspects {
		if now.After(x.until) && x.trial == "" {
			delete(s.suspects, f)
		}
	}
}

// Judge says how a request may run now.
func (s *Isolator) Evaluate(now time.Time, f Fingerprint) Verdict {
	x, ok := s.suspects[f]
	switch {
	case ok && now.After(x.until) && x.trial == "":
		return Verdict{Kind: VerdictUnrestricted}
	case ok && (x.confirmed || len(x.lost) >= MaxLostUpstreams):
		return Verdict{Kind: VerdictRefuse, RetryAfter: x.until.Sub(now)}
	case ok && s.running(f) > 0:
		return Verdict{Kind: VerdictWait, RetryAfter: trialWait}
	case ok:
		return Verdict{Kind: VerdictExclusive}
	}
	return s.judgeNew(f)
}

// judgeNew keeps copies of a fingerprint that never completed on one upstream.
func (s *Isolator) judgeNew(f Fingerprint) Verdict {
	if _, ok := s.proven[f]; ok {
		return Verdict{Kind: VerdictUnrestricted}
	}
	for _, l := range s.flights {
		if l.fingerprint == f {
			return Verdict{Kind: VerdictSameUpstream, Upstream: l.upstream}
		}
	}
	return Verdict{Kind: VerdictUnrestricted}
}

func (s *Isolator) running(f Fingerprint) int {
	count := 0
	for _, l := range s.flights {
		if l.fingerprint == f {
			count++
		}
	}
	return count
}

func (s *Isolator) started(m Started) {
	s.flights[m.RequestID] = flight{id: m.RequestID, fingerprint: m.Fingerprint, upstream: m.Upstream, alone: m.Exclusive}
	if x, ok := s.suspects[m.Fingerprint]; ok && m.Exclusive {
		x.trial = m.RequestID
	}
}

func (s *Isolator) ended(m Ended) []Effect {
	l, ok := s.flights[m.RequestID]
	if !ok {
		return nil
	}
	delete(s.flights, m.RequestID)
	x, suspected := s.suspects[l.fingerprint]
	if suspected && x.trial == m.RequestID {
		x.trial = ""
	}
	if !m.Complete {
		return nil
	}
	s.prove(l.fingerprint)
	if !suspected || x.confirmed {
		return nil
	}
	delete(s.suspects, l.fingerprint)
	return []Effect{Finding{Fingerprint: l.fingerprint, Cleared: true}}
}

func (s *Isolator) crashed(now time.Time, m Crashed) []Effect {
	var effects []Effect
	for _, l := range s.onboard(m.Upstream) {
		delete(s.flights, l.id)
		if _, ok := s.proven[l.fingerprint]; ok && !l.alone {
			s.doubt(l.fingerprint)
			continue
		}
		x := s.accuse(now, l.fingerprint, []Upstream{l.upstream})
		if l.alone {
			x.confirmed = true
			x.until = now.Add(RefusalTTL)
			x.trial = ""
			s.doubt(l.fingerprint)
		}
		effects = append(effects, Finding{Fingerprint: l.fingerprint, Lost: slices.Clone(x.lost), Confirmed: x.confirmed})
	}
	return effects
}

// onboard returns the requests in flight on an upstream, ordered by request ID.
func (s *Isolator) onboard(u Upstream) []flight {
	var found []flight
	for _, l := range s.flights {
		if l.upstream == u {
			found = append(found, l)
		}
	}
	slices.SortFunc(found, func(a, b flight) int {
		if a.id < b.id {
			return -1
		}
		return 1
	})
	return found
}

// accuse adds lost upstreams to a suspicion; an upstream counts once however often it is named.
func (s *Isolator) accuse(now time.Time, f Fingerprint, lost []Upstream) *suspect {
	x, ok := s.suspects[f]
	if !ok {
		x = &suspect{}
		s.suspects[f] = x
	}
	for _, u := range lost {
		if !slices.Contains(x.lost, u) {
			x.lost = append(x.lost, u)
		}
	}
	if until := now.Add(SuspicionTTL); until.After(x.until) {
		x.until = until
	}
	return x
}

func (s *Isolator) learned(now time.Time, m PeerFinding) {
	f := m.Finding.Fingerprint
	if m.Finding.Cleared {
		if x, ok := s.suspects[f]; ok && !x.confirmed {
			delete(s.suspects, f)
		}
		s.prove(f)
		return
	}
	x := s.accuse(now, f, m.Finding.Lost)
	if m.Finding.Confirmed && !x.confirmed {
		x.confirmed = true
		x.until = now.Add(RefusalTTL)
	}
}

// doubt forgets that a fingerprint is harmless, so that its next crash makes it suspected.
func (s *Isolator) doubt(f Fingerprint) {
	delete(s.proven, f)
}

// prove remembers a fingerprint as harmless, and forgets the oldest one at the limit.
func (s *Isolator) prove(f Fingerprint) {
	if _, ok := s.proven[f]; ok {
		return
	}
	s.proven[f] = struct{}{}
	if len(s.order) < provenLimit {
		s.order = append(s.order, f)
		return
	}
	delete(s.proven, s.order[s.next])
	s.order[s.next] = f
	s.next = (s.next + 1) % provenLimit
}
