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
	defaultPropagationTime = 2 * time.Second
	defaultWeightRate      = 2.0
	// weightBytes is small to limit loopback traffic; the rate limit, not the size, determines the time to load a model.
	weightBytes = 64 << 10
)

// VM is one entry of the VM list.
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
	PropagationTime      time.Duration // delay until a change appears in the served list
	WeightReadsPerSecond float64
}

// Platform serves the VM list and the model weights.
type Platform struct {
	config  Config
	weights *rate.Limiter
	mu      sync.Mutex
	current []VM
	history []snapshot
}

// snapshot is the VM list as it was from a point in time on.
type snapshot struct {
	from time.Time
	vms  []VM
}

// vmsResponse is the response with the VM list.
type vmsResponse struct {
	VMs []VM `json:"vms"`
}

// New returns a platform. It serves the initial list at once; only changes are delayed by PropagationTime.
func New(config Config) *Platform {
	return &Platform{
		config:  config,
		weights: rate.NewLimiter(rate.Limit(config.WeightReadsPerSecond), 1),
		current: slices.Clone(config.VMs),
		history: []snapshot{{vms: slices.Clone(config.VMs)}},
	}
}

// Handler returns the HTTP handler. PUT /v1/vms/{name} adds or replaces a VM.
func (p *Platform) Handler() http.Handler {
	router := chi.NewRouter()
	router.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	router.Get("/v1/vms", p.serveList)
	router.Put("/v1/vms/{name}", p.handlePut)
	router.Get("/v1/weights/{model}", p.serveWeights)
	return router
}

func (p *Platform) serveList(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(vmsResponse{VMs: p.vmsAt(time.Now().Add(-p.config.PropagationTime))})
}

// vmsAt returns the list that was current at a point in time, and discards older snapshots.
func (p *Platform) vmsAt(at time.Time) []VM {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(p.history) - 1; i > 0; i-- {
		if !p.history[i].from.After(at) {
			p.history = p.history[i:]
			return p.history[0].vms
		}
	}
	return p.history[0].vms
}

func (p *Platform) handlePut(w http.ResponseWriter, r *http.Request) {
	var vm VM
	if err := json.NewDecoder(r.Body).Decode(&vm); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	vm.Name = chi.URLParam(r, "name")
	p.put(time.Now(), vm)
}

// put adds or replaces a VM and stores a snapshot of the list.
func (p *Platform) put(now time.Time, updated VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	index := slices.IndexFunc(p.current, func(vm VM) bool { return vm.Name == updated.Name })
	if index < 0 {
		p.current = append(p.current, updated)
	} else {
		p.current[index] = updated
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
