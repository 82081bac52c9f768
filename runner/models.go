package main

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// modelState is how far a model is loaded.
type modelState string

const (
	modelLoading modelState = "loading"
	modelLoaded  modelState = "loaded"
	modelAbsent  modelState = "unloaded"
)

// weightRetry is used when the weight store names no time.
const weightRetry = time.Second

// order names the wanted state of a model on this engine.
type order struct {
	FencingNumber uint64     `json:"fencing-number"`
	OrderID       string     `json:"order-id"`
	Model         string     `json:"model"`
	State         modelState `json:"state"`
}

// LoadAll loads models one after the other.
func (e *Engine) LoadAll(ctx context.Context, models []string) {
	for _, model := range models {
		e.load(ctx, model)
	}
}

// Apply performs an order, and refuses one with an older fencing number when the engine checks it.
func (e *Engine) Apply(ctx context.Context, wanted order) *refusal {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.config.ChecksFencingNumbers && wanted.FencingNumber < e.fencing {
		return &refusalFencing
	}
	e.fencing = max(e.fencing, wanted.FencingNumber)
	switch wanted.State {
	case modelLoaded:
		if e.models[wanted.Model] == "" {
			e.models[wanted.Model] = modelLoading
			go e.load(ctx, wanted.Model)
		}
	case modelAbsent:
		delete(e.models, wanted.Model)
	default:
		return &refusalOrder
	}
	return nil
}

// Models returns the models that can be used now.
func (e *Engine) Models() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var loaded []string
	for model, state := range e.models {
		if state == modelLoaded {
			loaded = append(loaded, model)
		}
	}
	slices.Sort(loaded)
	return loaded
}

func (e *Engine) load(ctx context.Context, model string) {
	e.setModel(model, modelLoading)
	for e.config.WeightStore != "" && ctx.Err() == nil {
		wait, ok := fetchWeights(ctx, e.config.WeightStore, model)
		if ok {
			break
		}
		pause(ctx, wait)
	}
	pause(ctx, e.config.ColdStart)
	e.setLoaded(model)
}

func (e *Engine) setModel(model string, state modelState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.models[model] = state
}

// setLoaded ends a load, unless an order has unloaded the model meanwhile.
func (e *Engine) setLoaded(model string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.models[model] == modelLoading {
		e.models[model] = modelLoaded
	}
}

func fetchWeights(ctx context.Context, store, model string) (time.Duration, bool) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, store+"/v1/weights/"+model, nil)
	if err != nil {
		return weightRetry, false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return weightRetry, false
	}
	defer response.Body.Close()
	seconds, err := strconv.Atoi(response.Header.Get("Retry-After"))
	if err != nil {
		seconds = int(weightRetry.Seconds())
	}
	return time.Duration(seconds) * time.Second, response.StatusCode == http.StatusOK
}

func pause(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}
