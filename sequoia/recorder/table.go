package recorder

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxBatchEntries and maxBatchBytes limit one Replicate message to well below the transport's 16 MiB.
	maxBatchEntries = 256
	maxBatchBytes   = 1 << 20
	// compactionSlack keeps small tables from compacting their log at every write.
	compactionSlack = 1024
)

// position is a version of an entry in the log. It is stale when the entry has a higher sequence number.
type position struct {
	seq uint64
	id  string
}

// table holds the entries of a member with their indexes.
type table struct {
	entries       map[string]Entry
	log           []position
	highestNumber map[string]uint64 // by session id: highest key number that has a record
	records       int
	responseBytes int // total size of the recorded response bodies
	sessions      int
	opaqueKeys    int // opaque keys, as records or digests
	watermark     time.Time
}

func newTable(entries []Entry) *table {
	t := &table{entries: map[string]Entry{}, highestNumber: map[string]uint64{}}
	ordered := slices.SortedFunc(slices.Values(entries), func(a, b Entry) int { return cmp.Compare(a.Seq, b.Seq) })
	for _, entry := range ordered {
		t.put(entry)
	}
	return t
}

func (t *table) put(entry Entry) {
	t.uncount(entry.ID)
	t.entries[entry.ID] = entry
	t.log = append(t.log, position{seq: entry.Seq, id: entry.ID})
	t.count(entry, 1)
	t.compact()
}

func (t *table) remove(id string) {
	t.uncount(id)
	delete(t.entries, id)
}

func (t *table) uncount(id string) {
	if old, ok := t.entries[id]; ok {
		t.count(old, -1)
	}
}

func (t *table) count(entry Entry, change int) {
	switch {
	case entry.Record != nil:
		t.records += change
		t.responseBytes += change * len(entry.Record.Response.Body)
		t.countKey(entry.Record, change)
	case entry.Session != nil:
		t.sessions += change
	case entry.UsedKey != nil:
		t.opaqueKeys += change
	case entry.LowWatermark != nil:
		t.watermark = entry.LowWatermark.Time
	}
}

func (t *table) countKey(record *Record, change int) {
	key := parseKey(record.Key)
	switch key.kind {
	case keyOpaque:
		t.opaqueKeys += change
	case keySession:
		id := sessionID(record.Organisation, key.session)
		t.highestNumber[id] = max(t.highestNumber[id], key.number)
	case keyTimed:
	}
}

func (t *table) compact() {
	if len(t.log) <= 2*len(t.entries)+compactionSlack {
		return
	}
	t.log = slices.DeleteFunc(t.log, func(p position) bool { return !t.isCurrent(p) })
}

func (t *table) isCurrent(p position) bool {
	entry, ok := t.entries[p.id]
	return ok && entry.Seq == p.seq
}

// entriesAfter returns the next batch of entries above a sequence number, and the sequence number up to which the batch
// is complete.
func (t *table) entriesAfter(after, last uint64) ([]Entry, uint64) {
	start, _ := slices.BinarySearchFunc(t.log, after+1, func(p position, seq uint64) int { return cmp.Compare(p.seq, seq) })
	var entries []Entry
	size := 0
	for _, p := range t.log[start:] {
		if !t.isCurrent(p) {
			continue
		}
		if len(entries) == maxBatchEntries || size >= maxBatchBytes {
			return entries, entries[len(entries)-1].Seq
		}
		entry := t.entries[p.id]
		entries = append(entries, entry)
		if entry.Record != nil {
			size += len(entry.Record.Response.Body)
		}
	}
	return entries, last
}
