package isolator

import (
	"cmp"
	"encoding/base64"
	"maps"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// momentGap separates crashes that count as evidence of their own: upstreams that fail together, as those of a rack
	// do, count once.
	momentGap = 400 * time.Millisecond
	// answerTime is how long a suspected part waits for reports of completions before it is blocked. It covers two
	// heartbeats of the VMs.
	answerTime = 1800 * time.Millisecond
	// narrowShare is the share of the crashes under one part that a narrower part must explain to be blamed instead.
	narrowShare = 0.75
	// minMomentShare is the share of the upstreams that crashed around a moment on which a part must have been lost for
	// the moment to count against it: otherwise there is another cause.
	minMomentShare = 1.0 / 3
	// maxTrackedParts, maxTrackedRequests and maxTrackedCrashes limit the memory of a Blamer.
	maxTrackedParts    = 8192
	maxTrackedRequests = 8192
	maxTrackedCrashes  = 4096
	// maxEvidence limits the crashes named with a blocked part, maxBlockedNamed the blocked parts with which they are.
	maxEvidence     = 6
	maxBlockedNamed = 8
	// MaxSuspects limits the suspicions sent to a VM.
	MaxSuspects = 32
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

// evidence holds the crashes under one fingerprint since its last known completion.
type evidence struct {
	crashes     map[uint32]time.Time
	suspectedAt time.Time
	completedAt time.Time
	blocked     bool
	// depth is the position of a part in the prompts.
	depth byte
}

// unexplained returns the upstreams that crashed under the fingerprint, without those in explained.
func (e *evidence) unexplained(explained map[uint32]bool) []uint32 {
	var list []uint32
	for upstream := range e.crashes {
		if !explained[upstream] {
			list = append(list, upstream)
		}
	}
	return list
}

func (e *evidence) first() time.Time {
	var first time.Time
	for _, at := range e.crashes {
		if first.IsZero() || at.Before(first) {
			first = at
		}
	}
	return first
}

// sample returns some of the crashes, from the newest to the oldest. Neighbours may belong to one moment, so they are
// taken at equal distances.
func (e *evidence) sample(now time.Time) []UpstreamCrash {
	var list []UpstreamCrash
	for upstream, at := range e.crashes {
		list = append(list, UpstreamCrash{Upstream: upstream, Age: now.Sub(at)})
	}
	slices.SortFunc(list, func(x, y UpstreamCrash) int {
		return cmp.Or(cmp.Compare(x.Age, y.Age), cmp.Compare(x.Upstream, y.Upstream))
	})
	if len(list) > maxEvidence {
		list = spread(list, maxEvidence)
	}
	return list
}

// spread returns some elements at equal distances, with the first and the last one.
func spread(list []UpstreamCrash, count int) []UpstreamCrash {
	var chosen []UpstreamCrash
	for i := range count {
		chosen = append(chosen, list[i*(len(list)-1)/(count-1)])
	}
	return chosen
}

// countAround returns how many of some times in ascending order are less than half a momentGap away from a time.
func countAround(times []time.Time, at time.Time) int {
	first, _ := slices.BinarySearchFunc(times, at.Add(-momentGap/2), time.Time.Compare)
	end, _ := slices.BinarySearchFunc(times, at.Add(momentGap/2), time.Time.Compare)
	return end - first
}

// moments counts the crashes under a part that are at least momentGap apart, without those in explained and those at
// moments at which most upstreams crashed without the part.
func (b *Blamer) moments(e *evidence, explained map[uint32]bool) int {
	own := slices.SortedFunc(maps.Values(e.crashes), time.Time.Compare)
	var times []time.Time
	for _, upstream := range e.unexplained(explained) {
		at := e.crashes[upstream]
		if float64(countAround(own, at)) >= minMomentShare*float64(countAround(b.times, at)) {
			times = append(times, at)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	count := 0
	var opened time.Time
	for _, at := range times {
		if count == 0 || at.Sub(opened) >= momentGap {
			count++
			opened = at
		}
	}
	return count
}

// Blamer finds the parts of prompts that crash upstreams: those that crashed requests share and that no request
// completed with since. It is not safe for concurrent use.
type Blamer struct {
	parts    map[Fingerprint]*evidence
	requests map[Fingerprint]*evidence
	findings []PartFinding
	// crashes holds the time of each known crash, times the same in ascending order.
	crashes map[uint32]time.Time
	times   []time.Time
}

// NewBlamer returns a Blamer without evidence.
func NewBlamer() *Blamer {
	return &Blamer{parts: map[Fingerprint]*evidence{}, requests: map[Fingerprint]*evidence{}, crashes: map[uint32]time.Time{}}
}

// addCrashTime records the time of a crash, the earliest of those reported.
func (b *Blamer) addCrashTime(upstream uint32, at time.Time) {
	known, repeated := b.crashes[upstream]
	if repeated && !at.Before(known) || !repeated && len(b.crashes) >= maxTrackedCrashes {
		return
	}
	b.crashes[upstream] = at
	b.times = slices.SortedFunc(maps.Values(b.crashes), time.Time.Compare)
}

// AddCrash applies the report of a crash; several VMs may report the same one.
func (b *Blamer) AddCrash(now time.Time, crash Crash) {
	at := now.Add(-max(0, crash.Age))
	b.addCrashTime(crash.Upstream, at)
	for _, f := range crash.Requests {
		addLoss(b.requests, maxTrackedRequests, f, crash.Upstream, at)
	}
	for i, f := range crash.Parts {
		addLoss(b.parts, maxTrackedParts, f, crash.Upstream, at)
		if entry, ok := b.parts[f]; ok && i < len(crash.Depths) {
			entry.depth = max(entry.depth, crash.Depths[i])
		}
	}
}

func addLoss(all map[Fingerprint]*evidence, limit int, f Fingerprint, upstream uint32, at time.Time) {
	entry, ok := all[f]
	if !ok && len(all) >= limit {
		return
	}
	if !ok {
		entry = &evidence{crashes: map[uint32]time.Time{}}
		all[f] = entry
	}
	known, repeated := entry.crashes[upstream]
	if at.After(entry.completedAt) && (!repeated || at.Before(known)) {
		entry.crashes[upstream] = at
	}
}

// AddEvidence applies the evidence against a part that another coordinator, or this one before a restart, has blocked.
// Completions were waited for there.
func (b *Blamer) AddEvidence(now time.Time, suspicion Suspicion) {
	for _, f := range suspicion.Part {
		for _, crash := range suspicion.Crashes {
			at := now.Add(-max(0, crash.Age))
			b.addCrashTime(crash.Upstream, at)
			addLoss(b.parts, maxTrackedParts, f, crash.Upstream, at)
		}
		entry, ok := b.parts[f]
		if !ok {
			continue
		}
		entry.depth = max(entry.depth, suspicion.Depth)
		if entry.suspectedAt.IsZero() && b.moments(entry, nil) >= MaxLostUpstreams-1 {
			entry.suspectedAt = now.Add(-answerTime)
		}
	}
}

// AddCompletion discards the crashes before a completion of their part.
func (b *Blamer) AddCompletion(now time.Time, completion Completion) {
	at := now.Add(-max(0, completion.Age))
	for _, f := range completion.Part {
		entry, ok := b.parts[f]
		if !ok || !at.After(entry.completedAt) {
			continue
		}
		entry.completedAt = at
		b.discard(now, f, entry, at, FindingCleared)
	}
}

// discard removes the crashes up to a time, and ends the suspicion if too few remain.
func (b *Blamer) discard(now time.Time, f Fingerprint, entry *evidence, until time.Time, kind FindingKind) {
	before := *entry
	finding := b.finding(now, kind, f, &before)
	for upstream, at := range entry.crashes {
		if !at.After(until) {
			delete(entry.crashes, upstream)
		}
	}
	if entry.suspectedAt.IsZero() || b.moments(entry, nil) >= MaxLostUpstreams-1 {
		return
	}
	entry.suspectedAt = time.Time{}
	entry.blocked = false
	b.findings = append(b.findings, finding)
}

// Suspicions returns the suspected parts, blocked ones first, and the changes since the last call. Expired evidence is
// removed.
func (b *Blamer) Suspicions(now time.Time) ([]Suspicion, []PartFinding) {
	b.expire(now)
	b.judge(now)
	var list []Suspicion
	for f, entry := range b.parts {
		if !entry.suspectedAt.IsZero() {
			list = append(list, Suspicion{Part: FingerprintList{f}, Since: now.Sub(entry.first()), Blocked: entry.blocked})
		}
	}
	slices.SortFunc(list, func(x, y Suspicion) int {
		if x.Blocked != y.Blocked {
			return cmp.Compare(boolRank(x.Blocked), boolRank(y.Blocked))
		}
		left, right := b.parts[x.Part[0]], b.parts[y.Part[0]]
		return cmp.Or(cmp.Compare(len(right.crashes), len(left.crashes)), slices.Compare(x.Part[0][:], y.Part[0][:]))
	})
	list = list[:min(len(list), MaxSuspects)]
	for i := range list[:min(len(list), maxBlockedNamed)] {
		if list[i].Blocked {
			entry := b.parts[list[i].Part[0]]
			list[i].Crashes, list[i].Depth = entry.sample(now), entry.depth
		}
	}
	findings := b.findings
	b.findings = nil
	return list, findings
}

func boolRank(first bool) int {
	if first {
		return 0
	}
	return 1
}

func (b *Blamer) expire(now time.Time) {
	limit := now.Add(-lossTTL)
	maps.DeleteFunc(b.crashes, func(_ uint32, at time.Time) bool { return !at.After(limit) })
	b.times = slices.SortedFunc(maps.Values(b.crashes), time.Time.Compare)
	for f, entry := range b.parts {
		b.discard(now, f, entry, limit, FindingExpired)
		if len(entry.crashes) == 0 && entry.completedAt.Before(limit) {
			delete(b.parts, f)
		}
	}
	for f, entry := range b.requests {
		for upstream, at := range entry.crashes {
			if !at.After(limit) {
				delete(entry.crashes, upstream)
			}
		}
		if len(entry.crashes) == 0 {
			delete(b.requests, f)
		}
	}
}

// candidate is a suspected part.
type candidate struct {
	part  Fingerprint
	entry *evidence
	// blamed is set if the part is the narrowest explanation of enough crashes.
	blamed bool
}

// judge explains the crashes by as few parts as possible. A part is blamed for crashes that neither a request sent again
// and again nor a part blamed before explains.
func (b *Blamer) judge(now time.Time) {
	candidates := b.candidates(now)
	if len(candidates) == 0 {
		return
	}
	explained := map[uint32]bool{}
	b.explainByRequests(len(candidates[0].entry.crashes), explained)
	for next := b.nextBlamed(candidates, explained); next != nil; next = b.nextBlamed(candidates, explained) {
		next.blamed = true
		for upstream := range next.entry.crashes {
			explained[upstream] = true
		}
	}
	for _, c := range candidates {
		b.applyBlame(now, c)
	}
}

// candidates returns the suspected parts, those with the most crashes first.
func (b *Blamer) candidates(now time.Time) []*candidate {
	var list []*candidate
	for f, entry := range b.parts {
		if b.moments(entry, nil) < MaxLostUpstreams-1 {
			continue
		}
		if entry.suspectedAt.IsZero() {
			entry.suspectedAt = now
			b.findings = append(b.findings, b.finding(now, FindingSuspected, f, entry))
		}
		list = append(list, &candidate{part: f, entry: entry})
	}
	slices.SortFunc(list, func(x, y *candidate) int {
		return cmp.Or(cmp.Compare(len(y.entry.crashes), len(x.entry.crashes)), slices.Compare(x.part[:], y.part[:]))
	})
	return list
}

// nextBlamed returns the part to blame next: of those that explain nearly as many crashes as the best one does, the
// deepest in the prompt, since fewer requests share deeper parts.
func (b *Blamer) nextBlamed(candidates []*candidate, explained map[uint32]bool) *candidate {
	var best []uint32
	var eligible []*candidate
	for _, c := range candidates {
		if c.blamed || b.moments(c.entry, explained) < MaxLostUpstreams {
			continue
		}
		eligible = append(eligible, c)
		if open := c.entry.unexplained(explained); len(open) > len(best) {
			best = open
		}
	}
	var next *candidate
	for _, c := range eligible {
		covered := 0
		for _, upstream := range best {
			if _, ok := c.entry.crashes[upstream]; ok {
				covered++
			}
		}
		if float64(covered) >= narrowShare*float64(len(best)) && (next == nil || c.entry.depth > next.entry.depth) {
			next = c
		}
	}
	return next
}

// applyBlame blocks a part that was blamed, once completions would be known, and unblocks one that is not blamed.
func (b *Blamer) applyBlame(now time.Time, c *candidate) {
	if c.entry.blocked && !c.blamed {
		c.entry.blocked = false
		b.findings = append(b.findings, b.finding(now, FindingExplained, c.part, c.entry))
	}
	if !c.entry.blocked && c.blamed && now.Sub(c.entry.suspectedAt) >= answerTime {
		c.entry.blocked = true
		b.findings = append(b.findings, b.finding(now, FindingBlocked, c.part, c.entry))
	}
}

// explainByRequests marks the crashes of requests that crashed at least as many upstreams as a part did: the whole
// request is the narrower explanation.
func (b *Blamer) explainByRequests(crashes int, explained map[uint32]bool) {
	for _, entry := range b.requests {
		if len(entry.crashes) < max(MaxLostUpstreams, crashes) {
			continue
		}
		for upstream := range entry.crashes {
			explained[upstream] = true
		}
	}
}

func (b *Blamer) finding(now time.Time, kind FindingKind, f Fingerprint, entry *evidence) PartFinding {
	return PartFinding{
		Kind: kind, Part: f, Upstreams: len(entry.crashes), Moments: b.moments(entry, nil), Since: now.Sub(entry.first()),
	}
}
