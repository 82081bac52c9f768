package recorder

import "time"

// handleReplicate applies the primary's entries. Messages of an older view are ignored, which keeps a primary that was
// replaced from granting permits.
func (r *Recorder) handleReplicate(now time.Time, m Replicate) {
	if m.To != r.config.MemberID || m.From != m.View.Primary || m.View.Zone != r.config.Zone {
		return
	}
	if m.View.Number < r.meta.View.Number || !m.valid() {
		return
	}
	r.installView(now, m.View)
	if r.meta.View.Primary == r.config.MemberID {
		return
	}
	r.lastHeard = now
	gap := !r.applyReplicate(m)
	r.outbox.add(Send{To: m.From, Message: Ack{
		View: r.meta.View.Number, From: r.config.MemberID, To: m.From, Term: r.meta.Term,
		Applied: r.meta.Applied, Round: m.Round, Gap: gap, Complete: r.meta.Complete,
	}})
}

// valid reports whether the entries can be applied. An invalid message is not acknowledged, because a member that skips
// an entry could miss a permit.
func (m Replicate) valid() bool {
	last := m.After
	for _, entry := range m.Entries {
		if !entry.Valid() || entry.Seq <= last || entry.Seq > m.Through {
			return false
		}
		last = entry.Seq
	}
	return true
}

// applyReplicate applies the entries and reports whether they continue the member's own without a gap.
func (r *Recorder) applyReplicate(m Replicate) bool {
	contiguous := m.Term == r.meta.Term && m.After <= r.meta.Applied
	if !contiguous && m.After > 0 {
		return false
	}
	if !contiguous {
		r.resetForTerm(m.Term)
	}
	for _, entry := range m.Entries {
		r.applyEntry(entry)
	}
	if m.Through > r.meta.Applied {
		r.meta.Applied = m.Through
		r.persistMeta()
	}
	if m.Complete && !r.meta.Complete && r.meta.Applied == m.Through {
		r.meta.Complete = true
		r.persistMeta()
	}
	return true
}

func (r *Recorder) applyEntry(entry Entry) {
	if entry.Seq <= r.meta.Applied {
		return
	}
	r.storeEntry(entry)
	if entry.LowWatermark != nil {
		r.dropExpired(entry.LowWatermark.Time)
	}
}

// resetForTerm drops the entries of another term before a full copy.
func (r *Recorder) resetForTerm(term uint64) {
	r.table = newTable(nil)
	r.outbox.persist = Persist{Clear: true}
	r.outbox.dirty = true
	r.meta.Term = term
	r.meta.Applied = 0
	r.meta.Complete = false
}
