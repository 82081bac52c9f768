package answerer

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"sequoiaspread.example/sequoia/forwarder"
	"sequoiaspread.example/sequoia/isolator"
)

const (
	// maxCrashes, maxPartsOfCrash and maxRequestsOfCrash limit the report of crashes in one heartbeat.
	maxCrashes         = 8
	maxPartsOfCrash    = 96
	maxRequestsOfCrash = 32
	// maxPartsOfRequest limits the parts of one request that are considered.
	maxPartsOfRequest = 16
	// maxCompletedParts limits the memory for completed parts; completionTTL is how long they are remembered.
	maxCompletedParts = 4096
	completionTTL     = 2 * time.Minute
	// suspicionMaxLag is how much older than the newest list of a coordinator another one may be. An older one comes
	// from a coordinator that no longer learns of completions.
	suspicionMaxLag = 5 * time.Second
	// suspicionMaxAge is how long the lists apply while no coordinator answers.
	suspicionMaxAge = 2 * time.Minute
)

// crashRecord is what this VM lost when an upstream crashed.
type crashRecord struct {
	at, updated     time.Time
	requests, parts isolator.FingerprintList
	// depths holds the position in the prompt for each of parts.
	depths []byte
}

// suspicionList is the last list of a coordinator; since holds the first crash of each part.
type suspicionList struct {
	received time.Time
	parts    map[isolator.Fingerprint]suspectedPart
	// restarted is set once the coordinator has lost the evidence.
	restarted bool
}

type suspectedPart struct {
	since    time.Time
	blocked  bool
	evidence isolator.Suspicion
}

// partTracker records the parts of prompts that were lost in crashes and those that completed, and what the
// coordinators suspect.
type partTracker struct {
	mu        sync.Mutex
	crashes   map[uint32]*crashRecord
	completed map[isolator.Fingerprint]time.Time
	lists     map[netip.AddrPort]suspicionList
}

func newPartTracker() *partTracker {
	return &partTracker{
		crashes: map[uint32]*crashRecord{}, completed: map[isolator.Fingerprint]time.Time{},
		lists: map[netip.AddrPort]suspicionList{},
	}
}

// partFingerprints identifies the parts of the prompt that other requests may share: all but the last. The same part
// may crash the upstreams of one service only.
func (j *job) partFingerprints() isolator.FingerprintList {
	if j.fingerprintedFor == j.service {
		return j.partList
	}
	var list isolator.FingerprintList
	for _, part := range j.info.Parts[:min(max(0, len(j.info.Parts)-1), maxPartsOfRequest)] {
		digest := sha256.New()
		_, _ = io.WriteString(digest, j.service+"\n"+part.ID)
		list = append(list, isolator.Fingerprint(digest.Sum(nil)[:len(isolator.Fingerprint{})]))
	}
	j.partList, j.fingerprintedFor = list, j.service
	return list
}

// addCrash records a request that was lost in a crash.
func (t *partTracker) addCrash(at time.Time, loss isolator.Loss, parts isolator.FingerprintList) {
	t.mu.Lock()
	defer t.mu.Unlock()
	record, ok := t.crashes[loss.Upstream]
	if !ok && len(t.crashes) >= maxCrashes {
		return
	}
	if !ok {
		record = &crashRecord{at: at}
		t.crashes[loss.Upstream] = record
	}
	record.updated = time.Now()
	if len(record.requests) < maxRequestsOfCrash && !slices.Contains(record.requests, loss.Fingerprint) {
		record.requests = append(record.requests, loss.Fingerprint)
	}
	for depth, part := range parts {
		if len(record.parts) < maxPartsOfCrash && !slices.Contains(record.parts, part) {
			record.parts = append(record.parts, part)
			record.depths = append(record.depths, byte(depth))
		}
	}
}

// recordCompletion remembers the parts of a completed request. A response without length and chunks ends with its
// connection, as it also would if the upstream crashed, so it proves nothing.
func (j *job) recordCompletion(response *forwarder.Response) {
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		j.a.crashes.probeUpstream(j)
		return
	}
	now := time.Now()
	parts := j.partFingerprints()
	t := j.a.parts
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, part := range parts {
		if _, known := t.completed[part]; !known && len(t.completed) >= maxCompletedParts {
			t.forgetCompletions(now)
		}
		t.completed[part] = now
	}
}

// forgetCompletions removes the expired completions, or else some of them. The lock must be held.
func (t *partTracker) forgetCompletions(now time.Time) {
	for part, at := range t.completed {
		if now.Sub(at) > completionTTL {
			delete(t.completed, part)
		}
	}
	for part := range t.completed {
		if len(t.completed) < maxCompletedParts*3/4 {
			return
		}
		delete(t.completed, part)
	}
}

// suspicion returns the index of the first part of a request that is suspected, and not known here to have completed
// since; with onlyBlocked, blocked parts only.
func (t *partTracker) suspicion(now time.Time, parts isolator.FingerprintList, onlyBlocked bool) (int, suspectedPart, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, list := range t.validLists(now) {
		for i, part := range parts {
			suspected, ok := list.parts[part]
			if ok && (suspected.blocked || !onlyBlocked) && !t.completed[part].After(suspected.since) {
				return i, suspected, true
			}
		}
	}
	return 0, suspectedPart{}, false
}

// validLists returns the lists that apply. The lock must be held.
func (t *partTracker) validLists(now time.Time) []suspicionList {
	var newest time.Time
	for _, list := range t.lists {
		if list.received.After(newest) {
			newest = list.received
		}
	}
	var valid []suspicionList
	for _, list := range t.lists {
		if newest.Sub(list.received) <= suspicionMaxLag && now.Sub(list.received) <= suspicionMaxAge {
			valid = append(valid, list)
		}
	}
	return valid
}

// isBlocked reports whether a part of the prompt is blocked, and logs which.
func (j *job) isBlocked() bool {
	return j.checkParts(true)
}

// isSuspected reports whether a part of the prompt is suspected, and logs which.
func (j *job) isSuspected() bool {
	return j.checkParts(false)
}

func (j *job) checkParts(onlyBlocked bool) bool {
	now := time.Now()
	parts := j.partFingerprints()
	index, suspected, found := j.a.parts.suspicion(now, parts, onlyBlocked)
	if found {
		j.a.config.Logger.WithFields(logrus.Fields{
			"request": j.info.ID, "part-index": index, "part": shortName(parts[index]), "blocked": suspected.blocked,
			"since-ms": now.Sub(suspected.since).Milliseconds(),
		}).Info("a part of the prompt is held to crash upstreams")
	}
	return found
}

// Crashes returns the upstreams that crashed lately and what this VM lost on them.
func (a *Answerer) Crashes() []isolator.Crash {
	now := time.Now()
	t := a.parts
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []isolator.Crash
	for upstream, record := range t.crashes {
		if now.Sub(record.updated) > lossTTL {
			delete(t.crashes, upstream)
			continue
		}
		list = append(list, isolator.Crash{
			Upstream: upstream, Age: now.Sub(record.at), Requests: slices.Clone(record.requests), Parts: slices.Clone(record.parts),
			Depths: slices.Clone(record.depths),
		})
	}
	return list
}

// Completions returns which of the parts that a coordinator suspects have completed here since.
func (a *Answerer) Completions(coordinator netip.AddrPort) []isolator.Completion {
	now := time.Now()
	t := a.parts
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []isolator.Completion
	for part, suspected := range t.lists[coordinator].parts {
		if at := t.completed[part]; at.After(suspected.since) {
			list = append(list, isolator.Completion{Part: isolator.FingerprintList{part}, Age: now.Sub(at)})
		}
	}
	return list
}

// Evidence returns the evidence against blocked parts that a coordinator does not block.
func (a *Answerer) Evidence(coordinator netip.AddrPort) []isolator.Suspicion {
	now := time.Now()
	t := a.parts
	t.mu.Lock()
	defer t.mu.Unlock()
	receiver := t.lists[coordinator]
	named := map[isolator.Fingerprint]bool{}
	var list []isolator.Suspicion
	for _, source := range t.validLists(now) {
		for part, suspected := range source.parts {
			known := receiver.parts[part].blocked && !receiver.restarted
			completed := t.completed[part].After(suspected.since)
			if !suspected.blocked || len(suspected.evidence.Crashes) == 0 || known || completed || named[part] {
				continue
			}
			named[part] = true
			list = append(list, suspected.evidence.Older(now.Sub(source.received)))
		}
	}
	return list
}

// CoordinatorRestarted keeps the suspicions of a coordinator that has forgotten them, until it has them again.
func (a *Answerer) CoordinatorRestarted(coordinator netip.AddrPort) {
	a.parts.mu.Lock()
	defer a.parts.mu.Unlock()
	list := a.parts.lists[coordinator]
	list.restarted = true
	a.parts.lists[coordinator] = list
}

// SetSuspicions replaces the parts that a coordinator suspects.
func (a *Answerer) SetSuspicions(coordinator netip.AddrPort, suspicions []isolator.Suspicion) {
	now := time.Now()
	list := suspicionList{received: now, parts: map[isolator.Fingerprint]suspectedPart{}}
	for _, suspicion := range suspicions {
		for _, part := range suspicion.Part {
			list.parts[part] = suspectedPart{since: now.Add(-suspicion.Since), blocked: suspicion.Blocked, evidence: suspicion}
		}
	}
	a.parts.mu.Lock()
	defer a.parts.mu.Unlock()
	a.parts.lists[coordinator] = list
}

// shortName is the start of a fingerprint for the log.
func shortName(f isolator.Fingerprint) string {
	return hex.EncodeToString(f[:4])
}

func shortNames(list isolator.FingerprintList) []string {
	var names []string
	for _, f := range list {
		names = append(names, shortName(f))
	}
	return names
}
