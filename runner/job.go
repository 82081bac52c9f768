package main

import (
	"fmt"
	"strings"
	"time"
)

const (
	defaultOutputTokens = 16
	// markerPrefix starts the word of a prompt that is repeated in each generated token, so that a test can verify that a
	// response belongs to its request and is complete.
	markerPrefix = "ref:"
)

// job is one request in the engine. It is guarded by the engine's mutex.
type job struct {
	id           string
	model        string
	priority     int
	submission   uint64
	prompt       []string
	blocks       []block
	marker       string
	outputTokens int

	prefillRemaining int
	cachedTokens     int
	started          bool
	emitted          int
	done             bool
	cancelled        bool
	delivered        bool
	changed          chan struct{}
	clients          int
	detachedAt       time.Time
}

func newJob(id string, request chatRequest) *job {
	prompt := strings.Fields(request.text())
	outputTokens := request.tokenLimit()
	return &job{
		id: id, model: request.Model, priority: request.Priority,
		prompt: prompt, blocks: prefixBlocks(prompt), marker: findMarker(prompt), outputTokens: outputTokens,
		prefillRemaining: len(prompt), changed: make(chan struct{}),
	}
}

// findMarker returns the last marker of a prompt without its prefix, or "none".
func findMarker(prompt []string) string {
	for i := len(prompt) - 1; i >= 0; i-- {
		if marker, ok := strings.CutPrefix(prompt[i], markerPrefix); ok {
			return marker
		}
	}
	return "none"
}

// kvTokens returns the KV memory in tokens that the request needs at its end.
func (j *job) kvTokens() int {
	return len(j.prompt) + j.outputTokens
}

// token returns the generated token at a position, counted from 0.
func (j *job) token(position int) string {
	return fmt.Sprintf("%s-%d ", j.marker, position)
}

func (j *job) output() string {
	var text strings.Builder
	for i := range j.outputTokens {
		text.WriteString(j.token(i))
	}
	return text.String()
}

func (j *job) ended() bool {
	return j.done || j.cancelled
}

// notify wakes the clients. The caller holds the engine's mutex.
func (j *job) notify() {
	close(j.changed)
	j.changed = make(chan struct{})
}
