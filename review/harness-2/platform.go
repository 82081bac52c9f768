package harness

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// ListLag is how far the platform's list lags behind (max_lag_ms).
const ListLag = 800 * time.Millisecond

// Entry is an entry of the platform's list.
type Entry struct {
	ID         string  `json:"id"`
	Service    string  `json:"service"`
	Address    string  `json:"address"`
	Zone       string  `json:"zone"`
	Version    string  `json:"version"`
	Slots      int     `json:"slots"`
	State      string  `json:"state"`
	ColdLeftMS float64 `json:"cold_left_ms"`
	Born       int64   `json:"born"`
	Stage      string  `json:"stage,omitempty"`
	Models     []any   `json:"models,omitempty"`
	// ColdUntil is when the runner becomes warm; ColdLeftMS follows from it.
	ColdUntil time.Time `json:"-"`
}

type change struct {
	at      time.Time
	entries []Entry
}

// Platform serves the list of runners as it was ListLag ago.
type Platform struct {
	mu      sync.Mutex
	changes []change
	// raw holds entries of other writers by zone.
	raw map[string][]string
}

// AddRaw adds an entry of another writer to the list of a zone.
func (p *Platform) AddRaw(zone, entry string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.raw == nil {
		p.raw = map[string][]string{}
	}
	p.raw[zone] = append(p.raw[zone], entry)
}

// Set replaces the entries from now on.
func (p *Platform) Set(entries ...Entry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.changes = append(p.changes, change{time.Now(), append([]Entry(nil), entries...)})
}

// ServeHTTP serves GET /instances on one page.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/instances" {
		http.NotFound(w, r)
		return
	}
	p.mu.Lock()
	var current []Entry
	for _, c := range p.changes {
		if time.Since(c.at) >= ListLag {
			current = c.entries
		}
	}
	zone := r.URL.Query().Get("zone")
	list := []any{}
	for _, entry := range p.raw[zone] {
		list = append(list, json.RawMessage(entry))
	}
	p.mu.Unlock()
	for _, e := range current {
		e.ColdLeftMS = max(0, float64((time.Until(e.ColdUntil) + ListLag).Milliseconds()))
		if zone == "" || zone == e.Zone {
			list = append(list, e)
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"instances": list, "next": nil})
}
