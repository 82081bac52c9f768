package isolator

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// maxTrackedParts, maxTrackedRequests and maxTrackedCrashes limit the memory of a Blamer.
	maxTrackedParts    = 8192
	maxTrackedRequests = 8192
	maxTrackedCrashes  = 4096
	// maxBlockedNamed limits the blocked parts that are sent with their crashes.
	maxBlockedNamed = 8
	// MaxSuspects limits the suspicions sent to a VM.
	MaxSuspects = 32
)

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

func (b *Blamer) finding(now time.Time, kind FindingKind, f Fingerprint, entry *evidence) PartFinding {
	return PartFinding{
		Kind: kind, Part: f, Upstreams: len(entry.crashes), Moments: b.moments(entry, nil), Since: now.Sub(entry.first()),
	}
}
