package recorder

import "time"

// receiveCopy applies the primary's entries; a Copy of an older view is ignored, which is what keeps a primary that
// was replaced from giving permits.
func (r *Recorder) receiveCopy(now time.Time, c Copy) {
	if c.To != r.config.Member || c.From != c.View.Primary || c.View.Zone != r.config.Zone {
		return
	}
	if c.View.Number < r.meta.View.Number || !c.valid() {
		return
	}
	r.install(now, c.View)
	if r.meta.View.Primary == r.config.Member {
		return
	}
	r.lastHeard = now
	gap := !r.applyCopy(c)
	r.out.add(Send{To: c.From, Message: Ack{
		View: r.meta.View.Number, From: r.config.Member, To: c.From, Reign: r.meta.Reign,
		Applied: r.meta.Applied, Round: c.Round, Gap: gap, Complete: r.meta.Complete,
	}})
}

// valid reports whether the entries can be applied; one that cannot is left unacknowledged, because a member that skips an
// entry could miss a permit.
func (c Copy) valid() bool {
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
func (r *Recorder) applyCopy(c Copy) bool {
	follows := c.Reign == r.meta.Reign && c.After <= r.meta.Applied
	if !follows && c.After > 0 {
		return false
	}
	if !follows {
		r.clear(c.Reign)
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
	if entry.Floor != nil {
		r.dropBelow(entry.Floor.Time)
	}
}

// clear drops what the member holds of another reign, before a full copy.
func (r *Recorder) clear(reign uint64) {
	r.table = newTable(nil)
	r.out.persist = Persist{Clear: true}
	r.out.dirty = true
	r.meta.Reign = reign
	r.meta.Applied = 0
	r.meta.Complete = false
}
