package fleetserver

import (
	"sort"
	"time"
)

// Table holds the entry VMs that reported lately.
type Table struct {
	timeout time.Duration
	rows    map[string]row
}

type row struct {
	entry Entry
	seen  time.Time
}

// NewTable returns an empty table; an entry VM that is silent for the timeout is left out.
func NewTable(timeout time.Duration) *Table {
	return &Table{timeout: timeout, rows: map[string]row{}}
}

// Record takes in a report.
func (t *Table) Record(now time.Time, report Report) {
	t.rows[report.Entry.Name] = row{entry: report.Entry, seen: now}
}

// Live returns the entry VMs that reported within the timeout, sorted by name.
func (t *Table) Live(now time.Time) []Entry {
	live := make([]Entry, 0, len(t.rows))
	for name, row := range t.rows {
		if now.Sub(row.seen) > t.timeout {
			delete(t.rows, name)
			continue
		}
		live = append(live, row.entry)
	}
	sort.Slice(live, func(i, j int) bool { return live[i].Name < live[j].Name })
	return live
}
