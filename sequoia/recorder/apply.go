package recorder

import "time"

// receiveCopy applies the primary's entries; a Copy of an older view is ignored, which is what keeps a primary that
// was replaced from giving permits.
func (r *Recorder) receiveCopy(now time.Time, c Replicate) {
	if c.To != r.config.MemberID || c.From != c.View.Primary || c.View.Zone != r.config.Zone {
		return
	}
	if c.View.Number < r.meta.View.Number || !c.valid() {
		return
	}
	r.install(now, c.View)
	if r.meta.View.Primary == r.config.MemberID {
		return
	}
	r.lastHeard = now
	gap := !r.applyCopy(c)
	r.out.add(Send{To: c.From, Message: Ack{
		View: r.meta.View.Number, From: r.config.MemberID, To: c.From, Term: r.meta.Term,
		Applied: r.meta.Applied, Round: c.Round, Gap: gap, Complete: r.meta.Complete,
	}})
}

// valid reports whether the entries can be applied; one that cannot is left unacknowledged, because a member that skips an
// entry could miss a permit.
func (c Replicate) valid() bool {
	last := c.After
	for _, entry := range c.Entries {
		if !entry.Valid() || entry.Seq <= last || entry.Seq > c.Through {
			return false
		}
		last = entry.Seq
	}
	return true
}

// applyCopy reports whether the Copy follows what the member holds.
func (r *Recorder) applyCopy(c Replicate) bool {
	follows := c.Term == r.meta.Term && c.After <= r.meta.Applied
	if !follows && c.After > 0 {
		return false
	}
	if !follows {
		r.clear(c.Term)
	}
	for _, entry := range c.Entries {
		r.applyEntry(entry)
	}
	if c.Through > r.meta.Applied {
		r.meta.Applied = c.Through
		r.persistMeta()
	}
	if c.Complete && !r.meta.Complete && r.meta.Applied == c.Through {
		r.meta.Complete = true
		r.persistMeta()
	}
	return true
}

func (r *Recorder) applyEntry(entry Entry) {
	if entry.Seq <= r.meta.Applied {
		return
	}
	r.keep(entry)
	if entry.LowWatermark != nil {
		r.dropBelow(entry.LowWatermark.Time)
	}
}

// clear drops what the member holds of another reign, before a full copy.
func (r *Recorder) clear(reign uint64) {
	r.table = newTable(nil)
	r.out.persist = Persist{Clear: true}
	r.out.dirty = true
	r.meta.Term = reign
	r.meta.Applied = 0
	r.meta.Complete = false
}
