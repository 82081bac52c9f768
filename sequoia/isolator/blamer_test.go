package isolator

import (
	"encoding/json"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var blamerStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// blockedParts returns the blocked parts, and what changed.
func blockedParts(b *Blamer, now time.Time) ([]Fingerprint, []PartFinding) {
	suspicions, findings := b.Suspicions(now)
	var list []Fingerprint
	for _, suspicion := range suspicions {
		if suspicion.Blocked {
			list = append(list, suspicion.Part...)
		}
	}
	return list, findings
}

// Guards against requests with one deadly part, no two alike, crashing one upstream after the other.
func TestPartThatCrashesUpstreamsIsBlocked(t *testing.T) {
	b := NewBlamer()
	deadly := Fingerprint{1}
	now := blamerStart
	for i := range 3 {
		now = now.Add(time.Second)
		b.AddCrash(now, Crash{Upstream: uint32(i), Requests: FingerprintList{{9, byte(i)}}, Parts: FingerprintList{deadly, {2, byte(i)}}})
		blocked, _ := blockedParts(b, now)
		assert.Equal(t, len(blocked), 0, "no time was left for reports of completions")
	}
	now = now.Add(answerTime)
	blocked, findings := blockedParts(b, now)
	assert.DeepEqual(t, blocked, []Fingerprint{deadly})
	assert.DeepEqual(t, findings, []PartFinding{
		{Kind: FindingBlocked, Part: deadly, Upstreams: 3, Moments: 3, Since: 2*time.Second + answerTime},
	})
	blocked, findings = blockedParts(b, now.Add(lossTTL))
	assert.Equal(t, len(blocked), 0)
	assert.Equal(t, findings[0].Kind, FindingExpired)
	blockedParts(b, now.Add(lossTTL))
	assert.Equal(t, len(b.parts)+len(b.requests), 0)
}

// Guards against refusing sound requests that share a part with those that crash upstreams.
func TestCompletedPartIsNotBlocked(t *testing.T) {
	b := NewBlamer()
	deadly, shared := Fingerprint{1}, Fingerprint{2}
	now := blamerStart
	for i := range 6 {
		now = now.Add(time.Second)
		b.AddCrash(now, Crash{Upstream: uint32(i), Parts: FingerprintList{shared, deadly}})
		b.AddCompletion(now, Completion{Part: FingerprintList{shared}, Age: 100 * time.Millisecond})
		blockedParts(b, now)
	}
	blocked, _ := blockedParts(b, now.Add(answerTime))
	assert.DeepEqual(t, blocked, []Fingerprint{deadly})
	b.AddCompletion(now.Add(answerTime), Completion{Part: FingerprintList{deadly}})
	blocked, findings := blockedParts(b, now.Add(answerTime))
	assert.Equal(t, len(blocked), 0, "a completion clears a blocked part too")
	assert.Equal(t, findings[0].Kind, FindingCleared)
}

// Guards against an old report of a completion clearing the crashes after it.
func TestCompletionDoesNotClearLaterCrashes(t *testing.T) {
	b := NewBlamer()
	deadly := Fingerprint{1}
	now := blamerStart
	for i := range 3 {
		now = now.Add(time.Second)
		b.AddCrash(now, Crash{Upstream: uint32(i), Parts: FingerprintList{deadly}})
		blockedParts(b, now)
	}
	now = now.Add(answerTime)
	b.AddCompletion(now, Completion{Part: FingerprintList{deadly}, Age: time.Minute})
	blocked, _ := blockedParts(b, now)
	assert.DeepEqual(t, blocked, []Fingerprint{deadly})
}

// Guards against the loss of a rack or zone blocking the parts of everything that ran there.
func TestUpstreamsLostTogetherBlockNoPart(t *testing.T) {
	b := NewBlamer()
	for i := range 20 {
		age := time.Duration(i) * momentGap / 20
		b.AddCrash(blamerStart, Crash{Upstream: uint32(i), Age: age, Parts: FingerprintList{{1}, {2, byte(i % 3)}}})
	}
	blockedParts(b, blamerStart)
	blocked, _ := blockedParts(b, blamerStart.Add(answerTime))
	assert.Equal(t, len(blocked), 0)
}

// Guards against blocking the other parts of deadly requests, which sound requests share but rarely complete with.
func TestPartIsNotBlockedForCrashesThatAnotherExplains(t *testing.T) {
	b := NewBlamer()
	deadly, rare := Fingerprint{1}, Fingerprint{2}
	now := blamerStart
	for i := range 5 {
		now = now.Add(time.Second)
		parts := FingerprintList{deadly}
		if i > 0 && i < 4 {
			parts = FingerprintList{deadly, rare}
		}
		b.AddCrash(now, Crash{Upstream: uint32(i), Parts: parts})
		blockedParts(b, now)
	}
	blocked, _ := blockedParts(b, now.Add(answerTime))
	assert.DeepEqual(t, blocked, []Fingerprint{deadly})
}

// Guards against blocking the parts of one request that is sent again and again and crashes its upstreams.
func TestRepeatedRequestExplainsItsParts(t *testing.T) {
	b := NewBlamer()
	now := blamerStart
	for i := range 4 {
		now = now.Add(time.Second)
		b.AddCrash(now, Crash{Upstream: uint32(i), Requests: FingerprintList{{9}}, Parts: FingerprintList{{1}, {2}}})
		blockedParts(b, now)
	}
	blocked, _ := blockedParts(b, now.Add(answerTime))
	assert.Equal(t, len(blocked), 0)
}

// Guards against reports of one crash by several VMs, or repeated ones, counting as several.
func TestRepeatedReportsOfCrashCountOnce(t *testing.T) {
	b := NewBlamer()
	for i := range 10 {
		now := blamerStart.Add(time.Duration(i) * time.Second)
		b.AddCrash(now, Crash{Upstream: 1, Age: now.Sub(blamerStart), Parts: FingerprintList{{1}}})
		suspicions, _ := b.Suspicions(now)
		assert.Equal(t, len(suspicions), 0)
	}
}

// Guards against unbounded memory and messages while many upstreams crash under many parts.
func TestEvidenceAndSuspicionsAreBounded(t *testing.T) {
	b := NewBlamer()
	now := blamerStart
	for i := range 3 {
		now = now.Add(time.Second)
		for part := range maxTrackedParts + 10 {
			f := FingerprintList{{1, byte(part), byte(part >> 8)}}
			b.AddCrash(now, Crash{Upstream: uint32(i), Requests: f, Parts: f})
		}
	}
	suspicions, _ := b.Suspicions(now)
	assert.Equal(t, len(suspicions), MaxSuspects)
	assert.Equal(t, len(b.parts), maxTrackedParts)
	assert.Equal(t, len(b.requests), maxTrackedRequests)
	text, err := json.Marshal(suspicions)
	assert.NilError(t, err)
	assert.Assert(t, len(text) < 4<<10, "%d bytes", len(text))
	var decoded []Suspicion
	assert.NilError(t, json.Unmarshal(text, &decoded))
	assert.DeepEqual(t, decoded, suspicions)
}

// load replays requests on upstreams of which some crash. Each prompt has a part of its route, one of its session and,
// for the deadly share, the deadly part.
type load struct {
	random    *rand.Rand
	blamer    *Blamer
	now       time.Time
	upstream  []uint32
	next      uint32
	running   map[uint32][]replayed
	completed map[Fingerprint]time.Time
	deadly    Fingerprint
	sends     int
}

type replayed struct {
	parts FingerprintList
	ends  time.Time
}

func newLoad(seed uint64, upstreams int) *load {
	l := &load{
		random: rand.New(rand.NewPCG(seed, 1)), blamer: NewBlamer(), now: blamerStart, running: map[uint32][]replayed{},
		completed: map[Fingerprint]time.Time{}, deadly: Fingerprint{0xdd}, next: uint32(upstreams),
	}
	for i := range upstreams {
		l.upstream = append(l.upstream, uint32(i))
	}
	return l
}

// step plays 10 ms with one request, which is deadly with a probability.
func (l *load) step(deadlyShare float64, blocked []Fingerprint) {
	l.now = l.now.Add(10 * time.Millisecond)
	at := l.random.IntN(len(l.upstream))
	parts := FingerprintList{{1, byte(l.random.IntN(3))}, {2, byte(l.random.IntN(60))}}
	deadly := l.random.Float64() < deadlyShare
	if deadly {
		parts = append(parts, l.deadly)
	}
	for _, part := range blocked {
		for _, own := range parts {
			if own == part {
				return
			}
		}
	}
	upstream := l.upstream[at]
	l.running[upstream] = append(l.running[upstream], replayed{parts: parts, ends: l.now.Add(time.Duration(1+l.random.IntN(2000)) * time.Millisecond)})
	if deadly {
		l.sends++
		l.crash(at)
	}
	for id, list := range l.running {
		var rest []replayed
		for _, r := range list {
			if r.ends.After(l.now) {
				rest = append(rest, r)
				continue
			}
			for _, part := range r.parts {
				l.completed[part] = l.now
			}
		}
		l.running[id] = rest
	}
}

// crash ends an upstream; its successor is another incarnation.
func (l *load) crash(at int) {
	crash := Crash{Upstream: l.upstream[at]}
	for _, r := range l.running[crash.Upstream] {
		crash.Parts = append(crash.Parts, r.parts...)
	}
	l.blamer.AddCrash(l.now, crash)
	delete(l.running, crash.Upstream)
	l.upstream[at] = l.next
	l.next++
}

// exchange is a heartbeat: completions of the suspected parts, and the new suspicions.
func (l *load) exchange() []Fingerprint {
	suspicions, _ := l.blamer.Suspicions(l.now)
	for _, suspicion := range suspicions {
		part := suspicion.Part[0]
		if at := l.completed[part]; at.After(l.now.Add(-suspicion.Since)) {
			l.blamer.AddCompletion(l.now, Completion{Part: suspicion.Part, Age: l.now.Sub(at)})
		}
	}
	blocked, _ := blockedParts(l.blamer, l.now)
	return blocked
}

// Guards against a deadly part crashing more than a few upstreams in a load in which sound requests share its company.
func TestReplayedLoadBlocksOnlyDeadlyPart(t *testing.T) {
	for seed := range uint64(20) {
		l := newLoad(seed, 12)
		var blocked []Fingerprint
		for i := range 3000 {
			l.step(0.01, blocked)
			if i%80 == 79 {
				blocked = l.exchange()
			}
		}
		assert.DeepEqual(t, blocked, []Fingerprint{l.deadly})
		assert.Assert(t, l.sends <= 15, "seed %d: %d sends", seed, l.sends)
	}
}

// Guards against blocking sound parts while upstreams crash for other reasons: a zone at once, then single ones.
func TestReplayedLossOfZoneBlocksNothing(t *testing.T) {
	for seed := range uint64(20) {
		l := newLoad(seed, 12)
		for i := range 3000 {
			l.step(0, nil)
			if i == 500 || i == 1500 {
				for at := range 6 {
					l.crash(at)
				}
			}
			if i%400 == 399 {
				l.crash(l.random.IntN(12))
			}
			if i%80 == 79 {
				assert.Equal(t, len(l.exchange()), 0, "seed %d at %d", seed, i)
			}
		}
	}
}

// Guards against refusing the sound requests that share the wider part of which the deadly one is a part: under a high
// rate of crashes no request with it completed for seconds, and another crash hit it alone.
func TestNarrowestPartIsBlamed(t *testing.T) {
	b := NewBlamer()
	deadly, wide := Fingerprint{1}, Fingerprint{2}
	now := blamerStart
	for i := range 6 {
		now = now.Add(time.Second)
		crash := Crash{Upstream: uint32(i), Parts: FingerprintList{wide, deadly}, Depths: []byte{1, 2}}
		if i == 2 {
			crash = Crash{Upstream: uint32(i), Parts: FingerprintList{wide}, Depths: []byte{1}}
		}
		b.AddCrash(now, crash)
		blockedParts(b, now)
	}
	blocked, _ := blockedParts(b, now.Add(answerTime))
	assert.DeepEqual(t, blocked, []Fingerprint{deadly})
}

// Guards against the narrowest part hiding a wider one that crashes upstreams without it.
func TestWiderPartIsBlamedForOtherCrashes(t *testing.T) {
	b := NewBlamer()
	deadly, narrow := Fingerprint{1}, Fingerprint{2}
	now := blamerStart
	for i := range 6 {
		now = now.Add(time.Second)
		crash := Crash{Upstream: uint32(i), Parts: FingerprintList{deadly, narrow}, Depths: []byte{1, 2}}
		if i > 2 {
			crash = Crash{Upstream: uint32(i), Parts: FingerprintList{deadly}, Depths: []byte{1}}
		}
		b.AddCrash(now, crash)
		blockedParts(b, now)
	}
	blocked, _ := blockedParts(b, now.Add(answerTime))
	assert.DeepEqual(t, blocked, []Fingerprint{deadly})
}

// Guards against a deadly part running again after the coordinators were restarted, and against evidence from before a
// completion blocking a part again.
func TestEvidenceOutlivesRestartOfCoordinator(t *testing.T) {
	b := NewBlamer()
	deadly := Fingerprint{1}
	now := blamerStart
	for i := range 20 {
		now = now.Add(300 * time.Millisecond)
		b.AddCrash(now, Crash{Upstream: uint32(i), Parts: FingerprintList{deadly}, Depths: []byte{2}})
		blockedParts(b, now)
	}
	suspicions, _ := b.Suspicions(now.Add(answerTime))
	assert.Equal(t, len(suspicions), 1)
	assert.Equal(t, len(suspicions[0].Crashes), maxEvidence)
	later := now.Add(answerTime + time.Second)
	restarted := NewBlamer()
	restarted.AddEvidence(later, suspicions[0].Older(time.Second))
	blocked, _ := blockedParts(restarted, later)
	assert.DeepEqual(t, blocked, []Fingerprint{deadly})
	cleared := NewBlamer()
	cleared.AddCrash(later, Crash{Upstream: 99, Parts: FingerprintList{deadly}})
	cleared.AddCompletion(later, Completion{Part: FingerprintList{deadly}})
	cleared.AddEvidence(later, suspicions[0].Older(time.Second))
	blocked, _ = blockedParts(cleared, later)
	assert.Equal(t, len(blocked), 0)
}

// Guards against blocking rare sound parts that repeated losses of many upstreams happened to hit: a day on which most
// upstreams crashed four times blocked two or three.
func TestPartOnFewOfManyCrashedUpstreamsIsNotBlamed(t *testing.T) {
	b := NewBlamer()
	now := blamerStart
	for i := range 5 {
		now = now.Add(5 * time.Second)
		for upstream := range 8 {
			crash := Crash{Upstream: uint32(10*i + upstream), Age: time.Duration(upstream) * 10 * time.Millisecond}
			if upstream == 4 {
				crash.Parts = FingerprintList{{1}}
			}
			b.AddCrash(now, crash)
		}
		blockedParts(b, now.Add(time.Second))
	}
	blocked, _ := blockedParts(b, now.Add(answerTime))
	assert.Equal(t, len(blocked), 0)
}
