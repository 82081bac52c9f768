package main

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"sequoiaspread.example/sequoia/verifier"
)

// modelState is the loading state of a model.
type modelState string

const (
	modelLoading  modelState = "loading"
	modelLoaded   modelState = "loaded"
	modelUnloaded modelState = "unloaded"
)

// weightRetryDelay is used if the weight store does not respond or sends no Retry-After header in seconds.
const weightRetryDelay = time.Second

// modelOrder is an order to load or unload a model.
type modelOrder struct {
	FencingNumber uint64     `json:"fencing-number"`
	OrderID       string     `json:"order-id"`
	Model         string     `json:"model"`
	State         modelState `json:"state"`
}

// LoadAll loads models sequentially.
func (e *Engine) LoadAll(ctx context.Context, models []string) {
	for _, model := range models {
		e.load(ctx, model)
	}
}

// Apply executes an order. If the engine checks fencing tokens, it rejects an order with an older one.
func (e *Engine) Apply(ctx context.Context, request modelOrder) *rejection {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.config.CheckFencingTokens && request.FencingNumber < e.fencingToken {
		return &rejectionOldFencingToken
	}
	e.fencingToken = max(e.fencingToken, request.FencingNumber)
	switch request.State {
	case modelLoaded:
		if e.models[request.Model] == "" {
			e.models[request.Model] = modelLoading
			go e.load(ctx, request.Model)
		}
	case modelUnloaded:
		delete(e.models, request.Model)
	default:
		return &rejectionUnknownState
	}
	return nil
}

// Models returns the loaded models in alphabetical order.
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

// load fetches the weights of a model, with retries, and waits for the cold start time.
func (e *Engine) load(ctx context.Context, model string) {
	e.setModel(model, modelLoading)
	for e.config.WeightStore != "" && ctx.Err() == nil {
		wait, ok := fetchWeights(ctx, e.config.WeightStore, model)
		if ok {
			break
		}
		sleep(ctx, wait)
	}
	sleep(ctx, e.config.ColdStart)
	e.setLoaded(model)
}

func (e *Engine) setModel(model string, state modelState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.models[model] = state
}

// setLoaded marks a model as loaded, unless an order has unloaded it in the meantime.
func (e *Engine) setLoaded(model string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.models[model] == modelLoading {
		e.models[model] = modelLoaded
	}
}

// weightClient reads from the weight store.
var weightClient = &http.Client{
	Transport: verifier.NewTransport(verifier.TransportConfig{Base: http.DefaultTransport.(*http.Transport)}),
}

// fetchWeights reads the weights of a model once. It reports whether it succeeded, and otherwise the delay of a retry.
func fetchWeights(ctx context.Context, store, model string) (time.Duration, bool) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, store+"/v1/weights/"+model, nil)
	if err != nil {
		return weightRetryDelay, false
	}
	response, err := weightClient.Do(request)
	if err != nil {
		return weightRetryDelay, false
	}
	defer response.Body.Close()
	seconds, err := strconv.Atoi(response.Header.Get("Retry-After"))
	if err != nil {
		seconds = int(weightRetryDelay.Seconds())
	}
	_, err = io.Copy(io.Discard, response.Body)
	return time.Duration(seconds) * time.Second, err == nil && response.StatusCode == http.StatusOK
}

func sleep(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}
