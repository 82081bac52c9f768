package replicator

import "slices"

// entryLog is the log above a snapshot; entries[0] has the index first.
type entryLog struct {
	snapshot Snapshot
	first    uint64
	// beforeTerm is the term of the entry before first.
	beforeTerm uint64
	entries    []Entry
}

func newEntryLog(snapshot Snapshot, entries []Entry) (*entryLog, error) {
	l := &entryLog{snapshot: snapshot, first: snapshot.Index + 1, beforeTerm: snapshot.Term, entries: entries}
	if len(entries) == 0 {
		return l, nil
	}
	l.first = entries[0].Index
	if l.first != snapshot.Index+1 {
		l.beforeTerm = 0
	}
	if l.first > snapshot.Index+1 {
		return nil, newError("load log", KindCorruptState, "entries after the snapshot are missing")
	}
	if l.last() < snapshot.Index {
		return nil, newError("load log", KindCorruptState, "entries before the snapshot are missing")
	}
	for i, entry := range entries {
		if entry.Index != l.first+uint64(i) {
			return nil, newError("load log", KindCorruptState, "an entry is missing")
		}
	}
	return l, nil
}

func (l *entryLog) last() uint64 {
	return l.first + uint64(len(l.entries)) - 1
}

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.last())
	return term
}

// term returns the term of the entry at an index, and whether it is known.
func (l *entryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.snapshot.Index:
		return l.snapshot.Term, true
	case index+1 == l.first && l.beforeTerm != 0:
		return l.beforeTerm, true
	case index < l.first || index > l.last():
		return 0, false
	}
	return l.entries[index-l.first].Term, true
}

// slice returns at most limit entries from an index on, within a bound of bytes but at least one.
func (l *entryLog) slice(from uint64, limit, maxBytes int) []Entry {
	if from < l.first || from > l.last() {
		return nil
	}
	rest := l.entries[from-l.first:]
	size := 0
	for i, entry := range rest {
		size += len(entry.Data)
		if i >= limit || (i > 0 && size > maxBytes) {
			return rest[:i:i]
		}
	}
	return rest[:len(rest):len(rest)]
}

// replace drops the entries from the index of the first new one on and appends the new ones.
func (l *entryLog) replace(entries []Entry) {
	keep := entries[0].Index - l.first
	if keep < uint64(len(l.entries)) {
		// Messages and effects may still refer to the entries that are dropped.
		l.entries = slices.Clone(l.entries[:keep])
	}
	l.entries = append(l.entries, entries...)
}

// compact takes over a snapshot and drops the entries below first.
func (l *entryLog) compact(snapshot Snapshot, first uint64) {
	if first > l.first {
		l.beforeTerm, _ = l.term(first - 1)
		l.entries = append([]Entry(nil), l.entries[first-l.first:]...)
		l.first = first
	}
	l.snapshot = snapshot
}

// reset drops the whole log in favour of a snapshot.
func (l *entryLog) reset(snapshot Snapshot) {
	*l = entryLog{snapshot: snapshot, first: snapshot.Index + 1, beforeTerm: snapshot.Term}
}

// membership returns the latest membership and the index at which it was set.
func (l *entryLog) membership() (Membership, uint64) {
	for i := len(l.entries) - 1; i >= 0; i-- {
		if l.entries[i].Membership != nil {
			return l.entries[i].Membership.clone(), l.entries[i].Index
		}
	}
	return l.snapshot.Membership.clone(), l.snapshot.Index
}
