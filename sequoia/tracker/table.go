package tracker

import (
	"sort"
	"time"
)

// row is the entry of one member of the local availability zone.
type row struct {
	Update
	stateSince time.Time
	// sendCount is the number of messages that carried the current content.
	sendCount int
	// observed is false for members known only from the roster and for those whose tombstone expired. They are probed
	// but not listed by Members, and any update about them is accepted.
	observed bool
}

// table holds the rows sorted by name, so that the same input always gives the same effects.
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

// overriddenBy reports whether an update overrides the row.
func (r *row) overriddenBy(u Update) bool {
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
		r.stateSince = now
	}
	u.Version = max(u.Version, r.Version)
	r.Update = u
	r.sendCount = 0
	r.observed = true
}
