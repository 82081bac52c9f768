package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
)

const (
	requestIDHeader = "X-Request-Id"
	lastEventHeader = "Last-Event-ID"
	maxBodyBytes    = 8 << 20
	// crashStatus is the exit status of a crash on the crash marker, which distinguishes it from other exits.
	crashStatus = 3
)

// chatRequest holds the fields of a chat completion request that the engine uses.
type chatRequest struct {
	Model               string        `json:"model"`
	Messages            []chatMessage `json:"messages"`
	Stream              bool          `json:"stream"`
	MaxTokens           int           `json:"max_tokens"`
	MaxCompletionTokens int           `json:"max_completion_tokens"`
	Priority            int           `json:"priority"`
}

// chatMessage is one message of a request. Content is a string or an array of parts.
type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// chatCompletion is a complete response or, with Delta set, one chunk of a streamed response.
type chatCompletion struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	Model   string `json:"model"`
	// SystemFingerprint is the name of the VM that ran the request.
	SystemFingerprint string       `json:"system_fingerprint"`
	Choices           []chatChoice `json:"choices"`
	Usage             *chatUsage   `json:"usage,omitempty"`
}

// chatChoice is the only choice of a response.
type chatChoice struct {
	Index        int          `json:"index"`
	Message      *chatContent `json:"message,omitempty"`
	Delta        *chatContent `json:"delta,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

// chatContent is the generated text of a response or a chunk.
type chatContent struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// chatUsage counts the tokens of a request.
type chatUsage struct {
	PromptTokens     int            `json:"prompt_tokens"`
	CompletionTokens int            `json:"completion_tokens"`
	TotalTokens      int            `json:"total_tokens"`
	PromptDetails    *promptDetails `json:"prompt_tokens_details,omitempty"`
}

// promptDetails counts the prompt tokens that were found in the prefix cache.
type promptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// text joins the contents of the messages. JSON strings are decoded; other values are kept as raw JSON.
func (r chatRequest) text() string {
	parts := make([]string, 0, len(r.Messages))
	for _, message := range r.Messages {
		var plain string
		if json.Unmarshal(message.Content, &plain) != nil {
			plain = string(message.Content)
		}
		parts = append(parts, plain)
	}
	return strings.Join(parts, "\n")
}

// tokenLimit returns the number of tokens to generate.
func (r chatRequest) tokenLimit() int {
	if r.MaxCompletionTokens > 0 {
		return r.MaxCompletionTokens
	}
	if r.MaxTokens > 0 {
		return r.MaxTokens
	}
	return defaultOutputTokens
}

func (s *Server) chat(w http.ResponseWriter, r *http.Request) {
	var request chatRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&request); err != nil {
		rejectionInvalidBody.write(w)
		return
	}
	s.crashOnMarker(request)
	lastPosition, resuming := lastEvent(r)
	j, rejected := s.findOrSubmitJob(r, request, resuming)
	if rejected != nil {
		rejected.write(w)
		return
	}
	delivered := false
	defer func() { s.engine.Detach(j, delivered) }()
	if request.Stream {
		delivered = s.stream(w, r, j, lastPosition)
		return
	}
	delivered = s.sendComplete(w, r, j)
}

// findOrSubmitJob returns the existing job of a resumed stream, or submits a new job. An absent request ID is
// generated.
func (s *Server) findOrSubmitJob(r *http.Request, request chatRequest, resuming bool) (*job, *rejection) {
	id := r.Header.Get(requestIDHeader)
	if resuming {
		j, ok := s.engine.Attach(id)
		if !ok {
			return nil, &rejectionStreamNotKept
		}
		return j, nil
	}
	if id == "" {
		id = uuid.NewString()
	}
	j := newJob(id, request)
	return j, s.engine.Submit(j)
}

// crashOnMarker exits the process if the prompt contains the configured crash marker.
func (s *Server) crashOnMarker(request chatRequest) {
	marker := s.engine.config.CrashMarker
	if marker != "" && strings.Contains(request.text(), marker) {
		s.logger.Error("prompt contains the crash marker; exiting")
		os.Exit(crashStatus)
	}
}

// lastEvent returns the position after which a stream resumes, and whether the request is for a resumed stream.
func lastEvent(r *http.Request) (position int, resuming bool) {
	value := r.Header.Get(lastEventHeader)
	if value == "" {
		return 0, false
	}
	position, err := strconv.Atoi(value)
	return position, err == nil
}

// sendComplete sends the response as one JSON value and reports whether it was sent.
func (s *Server) sendComplete(w http.ResponseWriter, r *http.Request, j *job) bool {
	for {
		_, ended, changed := s.engine.Progress(j)
		if ended {
			break
		}
		select {
		case <-r.Context().Done():
			return false
		case <-changed:
		}
	}
	if j.cancelled {
		panic(http.ErrAbortHandler)
	}
	reason := "stop"
	response := s.completion(j, "chat.completion")
	response.Choices[0] = chatChoice{Message: &chatContent{Role: "assistant", Content: j.output()}, FinishReason: &reason}
	response.Usage = usage(j)
	writeJSON(w, http.StatusOK, response)
	return true
}

// stream sends one event for each token, numbered from 1, then an event with the finish reason and the end marker. It
// reports whether the end marker was sent.
func (s *Server) stream(w http.ResponseWriter, r *http.Request, j *job, lastPosition int) bool {
	w.Header().Set("Content-Type", "text/event-stream")
	breakAt := -1
	if lastPosition == 0 && s.engine.ShouldBreakStream() {
		breakAt = j.outputTokens / 2
	}
	for sent := lastPosition; ; {
		tokens, ended, changed := s.engine.Progress(j)
		for ; sent < tokens; sent++ {
			s.writeChunk(w, j, sent)
			if sent == breakAt {
				flush(w)
				panic(http.ErrAbortHandler)
			}
		}
		if ended {
			break
		}
		if !flushAndWait(w, r, changed) {
			return false
		}
	}
	if j.cancelled {
		panic(http.ErrAbortHandler)
	}
	s.writeEnd(w, j, lastPosition)
	return true
}

// flushAndWait flushes the response and waits for the next change. It reports false if the client disconnected.
func flushAndWait(w http.ResponseWriter, r *http.Request, changed <-chan struct{}) bool {
	flush(w)
	select {
	case <-r.Context().Done():
		return false
	case <-changed:
		return true
	}
}

func flush(w http.ResponseWriter) {
	if flusher, ok := w.(http.Flusher); ok {
		flusher.Flush()
	}
}

func (s *Server) writeChunk(w http.ResponseWriter, j *job, position int) {
	chunk := s.completion(j, "chat.completion.chunk")
	chunk.Choices[0].Delta = &chatContent{Content: j.token(position)}
	if position == 0 {
		chunk.Choices[0].Delta.Role = "assistant"
	}
	writeEvent(w, position+1, chunk)
}

func (s *Server) writeEnd(w http.ResponseWriter, j *job, lastPosition int) {
	reason := "stop"
	chunk := s.completion(j, "chat.completion.chunk")
	chunk.Choices[0].Delta = &chatContent{}
	chunk.Choices[0].FinishReason = &reason
	chunk.Usage = usage(j)
	if lastPosition <= j.outputTokens {
		writeEvent(w, j.outputTokens+1, chunk)
	}
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
}

func (s *Server) completion(j *job, object string) chatCompletion {
	return chatCompletion{
		ID: j.id, Object: object, Created: time.Now().Unix(), Model: j.model,
		SystemFingerprint: s.engine.config.VM, Choices: make([]chatChoice, 1),
	}
}

func usage(j *job) *chatUsage {
	return &chatUsage{
		PromptTokens: len(j.prompt), CompletionTokens: j.outputTokens, TotalTokens: len(j.prompt) + j.outputTokens,
		PromptDetails: &promptDetails{CachedTokens: j.cachedTokens},
	}
}

func writeEvent(w http.ResponseWriter, id int, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", id, data)
}
