package main

import (
	"fmt"
	"strings"
	"time"
)

const (
	defaultAnswerTokens = 16
	// markerPrefix starts the word of a prompt that is repeated in each token of the answer, so that a test can tell
	// whose answer it received and whether it is whole.
	markerPrefix = "ref:"
)

// job is one request in the engine; the engine's mutex guards it.
type job struct {
	id       string
	model    string
	priority int
	arrived  uint64
	prompt   []string
	blocks   []block
	marker   string
	limit    int

	prefillLeft int
	cached      int
	started     bool
	emitted     int
	done        bool
	cancelled   bool
	delivered   bool
	changed     chan struct{}
	readers     int
	detached    time.Time
}

func newJob(id string, request chatRequest) *job {
	prompt := strings.Fields(request.text())
	limit := request.limit()
	return &job{
		id: id, model: request.Model, priority: request.Priority,
		prompt: prompt, blocks: blocksOf(prompt), marker: markerOf(prompt), limit: limit,
		prefillLeft: len(prompt), changed: make(chan struct{}),
	}
}

func markerOf(prompt []string) string {
	for i := len(prompt) - 1; i >= 0; i-- {
		if marker, ok := strings.CutPrefix(prompt[i], markerPrefix); ok {
			return marker
		}
	}
	return "none"
}

// need returns the tokens of KV memory that the request takes at its end.
func (j *job) need() int {
	return len(j.prompt) + j.limit
}

// token returns the text of the answer at a position from 0.
func (j *job) token(position int) string {
	return fmt.Sprintf("%s-%d ", j.marker, position)
}

func (j *job) answer() string {
	var text strings.Builder
	for i := range j.limit {
		text.WriteString(j.token(i))
	}
	return text.String()
}

func (j *job) ended() bool {
	return j.done || j.cancelled
}

// notify wakes the readers; the engine's mutex is held.
func (j *job) notify() {
	close(j.changed)
	j.changed = make(chan struct{})
}
