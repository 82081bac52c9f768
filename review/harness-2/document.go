package harness

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
)

// Route is a route of a desired state.
type Route struct {
	Name            string   `json:"name"`
	Host            string   `json:"host"`
	PathPrefix      string   `json:"path_prefix"`
	Kind            string   `json:"kind"`
	TimeoutMS       int      `json:"timeout_ms"`
	TargetLatencyMS int      `json:"target_latency_ms"`
	Priority        int      `json:"priority"`
	Service         string   `json:"service"`
	MaxAttempts     int      `json:"max_attempts"`
	Sticky          bool     `json:"sticky"`
	Resumable       bool     `json:"resumable"`
	TargetGapMS     int      `json:"target_gap_ms"`
	HomeRegions     []string `json:"home_regions"`
}

// Service is a service of a desired state.
type Service struct {
	Name       string         `json:"name"`
	HealthPath string         `json:"health_path"`
	MaxConns   int            `json:"max_conns"`
	Protocol   string         `json:"protocol"`
	TLS        bool           `json:"tls"`
	ColdStartS float64        `json:"cold_start_s"`
	ColdPerS   float64        `json:"cold_per_s"`
	Engine     map[string]any `json:"engine,omitempty"`
}

// Engine returns the engine of a service whose runners take a number of requests at once.
func Engine(slots int) map[string]any {
	return map[string]any{
		"slots": slots, "kv_capacity_tokens": 246518, "kv_token_bytes": 163840, "link_mbps": 1100000.0, "moves": true, "backups": true,
		"stride": 7, "most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": []any{map[string]any{"name": "m"}},
	}
}

// Document returns a desired state.
func Document(version int, routes []Route, services []Service) string {
	for i := range routes {
		if routes[i].HomeRegions == nil {
			routes[i].HomeRegions = []string{}
		}
	}
	text, err := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
		},
	})
	if err != nil {
		panic(err)
	}
	return string(text)
}

// RandomHex returns a random number of digits in hexadecimal.
func RandomHex(digits int) string {
	raw := make([]byte, (digits+1)/2)
	_, _ = rand.Read(raw)
	return hex.EncodeToString(raw)[:digits]
}
