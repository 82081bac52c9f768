package tracker

import (
	"sort"
	"time"
)

// row is one member of this availability zone in the membership table.
type row struct {
	Update
	since time.Time
	// sends counts how often the current content was spread.
	sends int
	// seen is false for members known only from the roster; they are probed but not listed as live.
	seen bool
}

// table holds the rows in order of their names, so that each run with the same input gives the same effects.
type table struct {
	rows  map[string]*row
	names []string
}

func newTable() table {
	return table{rows: map[string]*row{}}
}

func (t *table) add(r *row) {
	t.rows[r.Name] = r
	i := sort.SearchStrings(t.names, r.Name)
	t.names = append(t.names, "")
	copy(t.names[i+1:], t.names[i:])
	t.names[i] = r.Name
}

func (t *table) remove(name string) {
	delete(t.rows, name)
	i := sort.SearchStrings(t.names, name)
	if i < len(t.names) && t.names[i] == name {
		t.names = append(t.names[:i], t.names[i+1:]...)
	}
}

// overrides reports whether an update replaces what a row says.
func (r *row) overrides(u Update) bool {
	if u.Incarnation != r.Incarnation {
		return u.Incarnation > r.Incarnation
	}
	if u.State.precedence() != r.State.precedence() {
		return u.State.precedence() > r.State.precedence()
	}
	return u.Version > r.Version
}

func (r *row) set(now time.Time, u Update) {
	if r.State != u.State || r.Incarnation != u.Incarnation {
		r.since = now
	}
	u.Version = max(u.Version, r.Version)
	r.Update = u
	r.sends = 0
	r.seen = true
}
