package main

import (
	"encoding/json"
	"time"
)

// route is one route of a desired state.
type route struct {
	Name        string   `json:"name"`
	Host        string   `json:"host"`
	Prefix      string   `json:"path_prefix"`
	Kind        string   `json:"kind"`
	TimeoutMS   int      `json:"timeout_ms"`
	LatencyMS   int      `json:"target_latency_ms"`
	Priority    int      `json:"priority"`
	Service     string   `json:"service"`
	MaxAttempts int      `json:"max_attempts"`
	Sticky      bool     `json:"sticky"`
	Resumable   bool     `json:"resumable"`
	GapMS       int      `json:"target_gap_ms,omitempty"`
	Homes       []string `json:"home_regions"`
}

type service struct {
	Name        string  `json:"name"`
	HealthPath  string  `json:"health_path"`
	MaxConns    int     `json:"max_conns"`
	Protocol    string  `json:"protocol"`
	TLS         bool    `json:"tls"`
	ColdSeconds float64 `json:"cold_start_s"`
	ColdPerS    float64 `json:"cold_per_s"`
}

type desiredState struct {
	Version  int            `json:"version"`
	Routes   []route        `json:"routes"`
	Services []service      `json:"services"`
	Limits   map[string]int `json:"limits"`
}

const host = "desk.example"

func newState(version int, routes ...route) desiredState {
	state := desiredState{Version: version, Limits: map[string]int{
		"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
	}}
	known := map[string]bool{}
	for _, r := range routes {
		if r.Homes == nil {
			r.Homes = []string{}
		}
		r.Host = host
		state.Routes = append(state.Routes, r)
		if !known[r.Service] {
			known[r.Service] = true
			state.Services = append(state.Services, service{Name: r.Service, HealthPath: "/health", MaxConns: 100, Protocol: "h1"})
		}
	}
	return state
}

func (s desiredState) text() string {
	text, _ := json.Marshal(s)
	return string(text)
}

// operator sends orders as the pages say: it waits one second for an answer and then moves on to another node, with the
// same order.
type operator struct {
	fleet *fleet
	// first is the node that the operator picks first; nil for the first of the list.
	first *process
}

// order sends an order until it is confirmed, for ack_ms at most.
func (o *operator) order(method, path, body string) bool {
	nodes := []*process{}
	if o.first != nil {
		nodes = append(nodes, o.first)
	}
	for _, p := range o.fleet.core {
		if p != o.first {
			nodes = append(nodes, p)
		}
	}
	pause := 100 * time.Millisecond
	for sent := time.Now(); time.Since(sent) < 6*time.Second; {
		for _, p := range nodes {
			o.fleet.record.note("operator sends %s to %s", path, p.name)
			status, _ := call(method, p.address(portControl), path, body, time.Second)
			o.fleet.record.note("operator gets status %d for %s from %s", status, path, p.name)
			if status == 200 {
				return true
			}
		}
		time.Sleep(pause)
		pause *= 2
	}
	return false
}
