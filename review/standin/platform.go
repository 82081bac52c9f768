package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
)

// instanceList is the platform's list of runners. It changes at once; the pages allow it a lag.
type instanceList struct {
	fleet   *fleet
	mu      sync.Mutex
	entries []*instance
}

// instance is one entry of the list.
type instance struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Version string `json:"version"`
	Slots   int    `json:"slots"`
	State   string `json:"state"`
	ColdMS  int    `json:"cold_left_ms"`
	Born    int64  `json:"born"`
}

func (l *instanceList) serve(address string) error {
	socket, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(socket, http.HandlerFunc(l.answer)) }()
	return nil
}

func (l *instanceList) answer(w http.ResponseWriter, r *http.Request) {
	zone := r.URL.Query().Get("zone")
	l.mu.Lock()
	defer l.mu.Unlock()
	shown := []*instance{}
	for _, entry := range l.entries {
		if zone == "" || entry.Zone == zone {
			shown = append(shown, entry)
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"instances": shown, "next": nil})
}

func (l *instanceList) add(entry instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = append(l.entries, &entry)
}

// update changes the entry of an address.
func (l *instanceList) update(address string, change func(entry *instance)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, entry := range l.entries {
		if entry.Address == address {
			change(entry)
		}
	}
}
