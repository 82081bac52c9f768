package main

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"golang.org/x/time/rate"
)

const (
	defaultLag        = 2 * time.Second
	defaultWeightRate = 2.0
	// weightBytes keeps loopback traffic small; the rate limit is what loading depends on.
	weightBytes = 64 << 10
)

// VM is one entry of the list.
type VM struct {
	Name        string `json:"name"`
	Address     string `json:"address"`
	Pool        string `json:"pool"`
	Zone        string `json:"zone"`
	State       string `json:"state"`
	Incarnation uint64 `json:"incarnation"`
}

// Config holds the settings of a Platform.
type Config struct {
	VMs                  []VM
	Lag                  time.Duration
	WeightReadsPerSecond float64
}

// Platform serves the VM list and the weights.
type Platform struct {
	config  Config
	weights *rate.Limiter
	mu      sync.Mutex
	current []VM
	history []snapshot
}

// snapshot is the list from one moment on.
type snapshot struct {
	from time.Time
	vms  []VM
}

// list is the reply to a read of the VM list.
type list struct {
	VMs []VM `json:"vms"`
}

// New returns a platform whose first list is served without a lag.
func New(config Config) *Platform {
	return &Platform{
		config:  config,
		weights: rate.NewLimiter(rate.Limit(config.WeightReadsPerSecond), 1),
		current: slices.Clone(config.VMs),
		history: []snapshot{{vms: slices.Clone(config.VMs)}},
	}
}

// Handler returns the HTTP interface; PUT /v1/vms/{name} changes the list.
func (p *Platform) Handler() http.Handler {
	router := chi.NewRouter()
	router.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	router.Get("/v1/vms", p.serveList)
	router.Put("/v1/vms/{name}", p.change)
	router.Get("/v1/weights/{model}", p.serveWeights)
	return router
}

func (p *Platform) serveList(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list{VMs: p.listAt(time.Now().Add(-p.config.Lag))})
}

// listAt returns the list that was current at a time.
func (p *Platform) listAt(moment time.Time) []VM {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(p.history) - 1; i > 0; i-- {
		if !p.history[i].from.After(moment) {
			p.history = p.history[i:]
			return p.history[0].vms
		}
	}
	return p.history[0].vms
}

func (p *Platform) change(w http.ResponseWriter, r *http.Request) {
	var wanted VM
	if err := json.NewDecoder(r.Body).Decode(&wanted); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	wanted.Name = chi.URLParam(r, "name")
	p.put(time.Now(), wanted)
}

func (p *Platform) put(now time.Time, wanted VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	index := slices.IndexFunc(p.current, func(vm VM) bool { return vm.Name == wanted.Name })
	if index < 0 {
		p.current = append(p.current, wanted)
	} else {
		p.current[index] = wanted
	}
	p.history = append(p.history, snapshot{from: now, vms: slices.Clone(p.current)})
}

func (p *Platform) serveWeights(w http.ResponseWriter, _ *http.Request) {
	if !p.weights.Allow() {
		wait := math.Ceil(1 / p.config.WeightReadsPerSecond)
		w.Header().Set("Retry-After", fmt.Sprintf("%.0f", wait))
		http.Error(w, "rate exceeded", http.StatusTooManyRequests)
		return
	}
	_, _ = w.Write(make([]byte, weightBytes))
}
