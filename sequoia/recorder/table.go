package recorder

import (
	"cmp"
	"slices"
	"time"
)

const (
	// chunkEntries and chunkBytes bound one Copy, well below the transport's 16 MiB for a message.
	chunkEntries = 256
	chunkBytes   = 1 << 20
	// logSlack keeps small tables from compacting their log at every write.
	logSlack = 1024
)

// position is the place of an entry in the order of changes; it is out of date when the entry has a higher number.
type position struct {
	seq uint64
	id  string
}

// table holds the entries of a member with the indexes that decisions need.
type table struct {
	entries   map[string]Entry
	log       []position
	highest   map[string]uint64 // by session id: highest number with a record
	records   int
	answers   int // bytes of recorded answers
	sessions  int
	permanent int // keys without time: records and digests
	floor     time.Time
}

func newTable(entries []Entry) *table {
	t := &table{entries: map[string]Entry{}, highest: map[string]uint64{}}
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
		t.answers += change * len(entry.Record.Response.Body)
		t.countKey(entry.Record, change)
	case entry.Session != nil:
		t.sessions += change
	case entry.UsedKey != nil:
		t.permanent += change
	case entry.LowWatermark != nil:
		t.floor = entry.LowWatermark.Time
	}
}

func (t *table) countKey(record *Record, change int) {
	key := parseKey(record.Key)
	switch key.kind {
	case keyOpaque:
		t.permanent += change
	case keySession:
		id := sessionID(record.Organisation, key.session)
		t.highest[id] = max(t.highest[id], key.number)
	case keyTimed:
	}
}

func (t *table) compact() {
	if len(t.log) <= 2*len(t.entries)+logSlack {
		return
	}
	t.log = slices.DeleteFunc(t.log, func(p position) bool { return !t.current(p) })
}

func (t *table) current(p position) bool {
	entry, ok := t.entries[p.id]
	return ok && entry.Seq == p.seq
}

// since returns the next entries above a sequence number and the number through which they are all.
func (t *table) since(after, last uint64) ([]Entry, uint64) {
	start, _ := slices.BinarySearchFunc(t.log, after+1, func(p position, seq uint64) int { return cmp.Compare(p.seq, seq) })
	var entries []Entry
	size := 0
	for _, p := range t.log[start:] {
		if !t.current(p) {
			continue
		}
		if len(entries) == chunkEntries || size >= chunkBytes {
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
