package isolator

import (
	"cmp"
	"slices"
	"time"
)

const (
	// answerTime is how long a suspected part waits for reports of completions before it is blocked. It covers two
	// heartbeats of the VMs.
	answerTime = 1800 * time.Millisecond
	// narrowShare is the share of the crashes under one part that a narrower part must explain to be blamed instead.
	narrowShare = 0.75
)

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
