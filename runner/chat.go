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
	// crashStatus tells a crash on a marked prompt from other exits.
	crashStatus = 3
)

// chatRequest is the part of a chat completion request that the engine uses.
type chatRequest struct {
	Model               string        `json:"model"`
	Messages            []chatMessage `json:"messages"`
	Stream              bool          `json:"stream"`
	MaxTokens           int           `json:"max_tokens"`
	MaxCompletionTokens int           `json:"max_completion_tokens"`
	Priority            int           `json:"priority"`
}

// chatMessage is one message; Content is a string or an array of parts.
type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// chatCompletion is a whole answer or, with Delta set, one chunk of it.
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

// chatChoice is the only choice of an answer.
type chatChoice struct {
	Index        int          `json:"index"`
	Message      *chatContent `json:"message,omitempty"`
	Delta        *chatContent `json:"delta,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

// chatContent is the text of an answer or of a part of it.
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

// promptDetails counts the prompt tokens that the prefix cache held.
type promptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// text joins the contents of the messages; JSON strings are decoded, other forms are kept as they are.
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

func (r chatRequest) limit() int {
	if r.MaxCompletionTokens > 0 {
		return r.MaxCompletionTokens
	}
	if r.MaxTokens > 0 {
		return r.MaxTokens
	}
	return defaultAnswerTokens
}

func (s *Server) chat(w http.ResponseWriter, r *http.Request) {
	var request chatRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&request); err != nil {
		refusalBody.write(w)
		return
	}
	s.crashOnMarker(request)
	last, resuming := lastEvent(r)
	j, refused := s.jobFor(r, request, resuming)
	if refused != nil {
		refused.write(w)
		return
	}
	delivered := false
	defer func() { s.engine.Detach(j, delivered) }()
	if request.Stream {
		delivered = s.stream(w, r, j, last)
		return
	}
	delivered = s.whole(w, r, j)
}

func (s *Server) jobFor(r *http.Request, request chatRequest, resuming bool) (*job, *refusal) {
	id := r.Header.Get(requestIDHeader)
	if resuming {
		j, ok := s.engine.Attach(id)
		if !ok {
			return nil, &refusalResume
		}
		return j, nil
	}
	if id == "" {
		id = uuid.NewString()
	}
	j := newJob(id, request)
	return j, s.engine.Submit(j)
}

func (s *Server) crashOnMarker(request chatRequest) {
	marker := s.engine.config.CrashMarker
	if marker != "" && strings.Contains(request.text(), marker) {
		s.logger.Error("prompt with the crash marker ends the process")
		os.Exit(crashStatus)
	}
}

// lastEvent returns the position after which a stream continues.
func lastEvent(r *http.Request) (position int, resuming bool) {
	value := r.Header.Get(lastEventHeader)
	if value == "" {
		return 0, false
	}
	position, err := strconv.Atoi(value)
	return position, err == nil
}

// whole sends the answer as one JSON value and reports whether it was sent.
func (s *Server) whole(w http.ResponseWriter, r *http.Request, j *job) bool {
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
	answer := s.completion(j, "chat.completion")
	answer.Choices[0] = chatChoice{Message: &chatContent{Role: "assistant", Content: j.answer()}, FinishReason: &reason}
	answer.Usage = usageOf(j)
	writeJSON(w, http.StatusOK, answer)
	return true
}

// stream sends one event for each token, numbered from 1, then one with the finish reason and the end marker. It reports
// whether the end was sent.
func (s *Server) stream(w http.ResponseWriter, r *http.Request, j *job, last int) bool {
	w.Header().Set("Content-Type", "text/event-stream")
	breakAt := -1
	if last == 0 && s.engine.BreaksStream() {
		breakAt = j.limit / 2
	}
	for sent := last; ; {
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
		if !waitFor(w, r, changed) {
			return false
		}
	}
	if j.cancelled {
		panic(http.ErrAbortHandler)
	}
	s.writeEnd(w, j, last)
	return true
}

func waitFor(w http.ResponseWriter, r *http.Request, changed <-chan struct{}) bool {
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

func (s *Server) writeEnd(w http.ResponseWriter, j *job, last int) {
	reason := "stop"
	chunk := s.completion(j, "chat.completion.chunk")
	chunk.Choices[0].Delta = &chatContent{}
	chunk.Choices[0].FinishReason = &reason
	chunk.Usage = usageOf(j)
	if last <= j.limit {
		writeEvent(w, j.limit+1, chunk)
	}
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
}

func (s *Server) completion(j *job, object string) chatCompletion {
	return chatCompletion{
		ID: j.id, Object: object, Created: time.Now().Unix(), Model: j.model,
		SystemFingerprint: s.engine.config.VM, Choices: make([]chatChoice, 1),
	}
}

func usageOf(j *job) *chatUsage {
	return &chatUsage{
		PromptTokens: len(j.prompt), CompletionTokens: j.limit, TotalTokens: len(j.prompt) + j.limit,
		PromptDetails: &promptDetails{CachedTokens: j.cached},
	}
}

func writeEvent(w http.ResponseWriter, id int, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", id, data)
}
