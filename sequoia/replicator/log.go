package replicator

import "slices"

// entryLog is a snapshot and the log entries after it, with trailing entries kept below it; entries[0] has the index
// firstIndex.
type entryLog struct {
	snapshot   Snapshot
	firstIndex uint64
	// prevTerm is the term of the entry before firstIndex, 0 when it is not known.
	prevTerm uint64
	entries  []Entry
}

func newEntryLog(snapshot Snapshot, entries []Entry) (*entryLog, error) {
	l := &entryLog{snapshot: snapshot, firstIndex: snapshot.Index + 1, prevTerm: snapshot.Term, entries: entries}
	if len(entries) == 0 {
		return l, nil
	}
	l.firstIndex = entries[0].Index
	if l.firstIndex != snapshot.Index+1 {
		l.prevTerm = 0
	}
	if l.firstIndex > snapshot.Index+1 {
		return nil, newError("load log", KindCorruptState, "entries after the snapshot are missing")
	}
	if l.lastIndex() < snapshot.Index {
		return nil, newError("load log", KindCorruptState, "entries before the snapshot are missing")
	}
	for i, entry := range entries {
		if entry.Index != l.firstIndex+uint64(i) {
			return nil, newError("load log", KindCorruptState, "the entry indexes are not contiguous")
		}
	}
	return l, nil
}

func (l *entryLog) lastIndex() uint64 {
	return l.firstIndex + uint64(len(l.entries)) - 1
}

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

// term returns the term of the entry at an index, and whether it is known.
func (l *entryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.snapshot.Index:
		return l.snapshot.Term, true
	case index+1 == l.firstIndex && l.prevTerm != 0:
		return l.prevTerm, true
	case index < l.firstIndex || index > l.lastIndex():
		return 0, false
	}
	return l.entries[index-l.firstIndex].Term, true
}

// entriesFrom returns the entries from an index on: at most limit entries and maxBytes of data, but at least one entry.
func (l *entryLog) entriesFrom(from uint64, limit, maxBytes int) []Entry {
	if from < l.firstIndex || from > l.lastIndex() {
		return nil
	}
	rest := l.entries[from-l.firstIndex:]
	size := 0
	for i, entry := range rest {
		size += len(entry.Data)
		if i >= limit || (i > 0 && size > maxBytes) {
			return rest[:i:i]
		}
	}
	return rest[:len(rest):len(rest)]
}

// truncateAndAppend drops the entries from the index of the first new entry on and appends the new entries.
func (l *entryLog) truncateAndAppend(entries []Entry) {
	keep := entries[0].Index - l.firstIndex
	if keep < uint64(len(l.entries)) {
		// Messages and effects may still refer to the dropped entries, so the array is not overwritten.
		l.entries = slices.Clone(l.entries[:keep])
	}
	l.entries = append(l.entries, entries...)
}

// compact adopts a snapshot and drops the entries below firstIndex.
func (l *entryLog) compact(snapshot Snapshot, firstIndex uint64) {
	if firstIndex > l.firstIndex {
		l.prevTerm, _ = l.term(firstIndex - 1)
		l.entries = append([]Entry(nil), l.entries[firstIndex-l.firstIndex:]...)
		l.firstIndex = firstIndex
	}
	l.snapshot = snapshot
}

// reset replaces the whole log by a snapshot.
func (l *entryLog) reset(snapshot Snapshot) {
	*l = entryLog{snapshot: snapshot, firstIndex: snapshot.Index + 1, prevTerm: snapshot.Term}
}

// membership returns the latest membership in the log and the index of its entry.
func (l *entryLog) membership() (Membership, uint64) {
	for i := len(l.entries) - 1; i >= 0; i-- {
		if l.entries[i].Membership != nil {
			return l.entries[i].Membership.clone(), l.entries[i].Index
		}
	}
	return l.snapshot.Membership.clone(), l.snapshot.Index
}
