package session

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

const (
	rankHeader = "Sequoia-Rank"
	endMarker  = "[DONE]"
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 1 << 20
)

var (
	errTruncated = eris.New("answer ended without its end marker")
	errNotOwn    = eris.New("answer is not the one to this request")
)

// Chat is one chat request. Marker is a word of the prompt that the stand-in engine repeats in each token.
type Chat struct {
	Service   string
	Model     string
	Rank      string
	Marker    string
	Words     int
	MaxTokens int
	Stream    bool
}

// Answer is what a caller received.
type Answer struct {
	FirstToken time.Duration
	Whole      time.Duration
	// UpstreamVM ran the request; EntryZone is where the caller sent it.
	UpstreamVM string
	EntryZone  string
	// Refusals counts the answers "not run" before this one.
	Refusals int
}

// chatBody is the body of a chat request.
type chatBody struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	Stream    bool          `json:"stream"`
	MaxTokens int           `json:"max_tokens"`
}

// chatMessage is one message of a prompt.
type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// chatAnswer is a whole answer or one chunk of it.
type chatAnswer struct {
	SystemFingerprint string `json:"system_fingerprint"`
	Choices           []struct {
		Message chatMessage `json:"message"`
		Delta   chatMessage `json:"delta"`
	} `json:"choices"`
}

// expected is the whole answer of the stand-in engine.
func (c Chat) expected() string {
	var text strings.Builder
	for i := range c.MaxTokens {
		fmt.Fprintf(&text, "%s-%d ", c.Marker, i)
	}
	return text.String()
}

// body builds the request; the words before the marker are the same for all requests of a length, as prompts of one
// kind of kiosk or manual are.
func (c Chat) body() ([]byte, error) {
	prompt := strings.Repeat("word ", c.Words) + "ref:" + c.Marker
	return json.Marshal(chatBody{
		Model: c.Model, Stream: c.Stream, MaxTokens: c.MaxTokens,
		Messages: []chatMessage{{Role: "user", Content: prompt}},
	})
}

// Chat sends a chat request until it is answered; it resends only what was not run.
func (c *Caller) Chat(ctx context.Context, chat Chat) (Answer, error) {
	body, err := chat.body()
	if err != nil {
		return Answer{}, &Error{Op: "format chat", Kind: KindAnswer, cause: err}
	}
	start := time.Now()
	for refusals := range tryLimit {
		answer, err := c.tryChat(ctx, chat, body, start)
		if err == nil {
			answer.Refusals = refusals
			return answer, nil
		}
		pause, again := resendChat(err)
		if !again || ctx.Err() != nil {
			return Answer{}, err
		}
		wait(ctx, pause)
	}
	return Answer{}, &Error{Op: "chat", Kind: KindTimeout, cause: errTries}
}

// resendChat says whether a failed chat request was not run.
func resendChat(err error) (time.Duration, bool) {
	var known *Error
	if !errors.As(err, &known) {
		return 0, false
	}
	if known.Kind == KindProblem {
		return known.Problem.Retry, known.Problem.Outcome == outcomeNotRun && known.Problem.Retryable
	}
	return 0, known.Kind == KindTransport && refusedConnection(err)
}

// refusedConnection reports whether no connection came about, so that nothing was sent.
func refusedConnection(err error) bool {
	var failed *url.Error
	return errors.As(err, &failed) && errors.Is(failed.Err, syscall.ECONNREFUSED)
}

func (c *Caller) tryChat(ctx context.Context, chat Chat, body []byte, start time.Time) (Answer, error) {
	entries, err := c.entries(ctx, chat.Service)
	if err != nil {
		return Answer{}, err
	}
	entry := entries[0]
	header := http.Header{}
	if chat.Rank != "" {
		header.Set(rankHeader, chat.Rank)
	}
	response, err := c.post(ctx, entry, http.MethodPost, "/v1/chat/completions", header, body)
	if err != nil {
		return Answer{}, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		problem := problemError("chat at "+entry.VM, response)
		if problem.Problem.Outcome == outcomeNotRun {
			c.directory.Avoid(entry)
		}
		return Answer{}, problem
	}
	read := readWhole
	if chat.Stream {
		read = readStream
	}
	answer, err := read(response.Body, chat, start)
	if err != nil {
		id := response.Header.Get("X-Request-Id")
		return Answer{}, &Error{Op: "read answer to request " + id + " at " + entry.VM, Kind: KindAnswer, cause: err}
	}
	answer.EntryZone = entry.Zone
	return answer, nil
}

func readWhole(body io.Reader, chat Chat, start time.Time) (Answer, error) {
	var whole chatAnswer
	if err := json.NewDecoder(body).Decode(&whole); err != nil {
		return Answer{}, err
	}
	if len(whole.Choices) != 1 || whole.Choices[0].Message.Content != chat.expected() {
		return Answer{}, errNotOwn
	}
	passed := time.Since(start)
	return Answer{FirstToken: passed, Whole: passed, UpstreamVM: whole.SystemFingerprint}, nil
}

func readStream(body io.Reader, chat Chat, start time.Time) (Answer, error) {
	var answer Answer
	var text strings.Builder
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, maxEventBytes)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == endMarker {
			answer.Whole = time.Since(start)
			return answer, checkText(text.String(), chat)
		}
		if err := answer.take(data, &text, start); err != nil {
			return answer, err
		}
	}
	return answer, errors.Join(errTruncated, scanner.Err())
}

// take adds one chunk to an answer.
func (a *Answer) take(data string, text *strings.Builder, start time.Time) error {
	var chunk chatAnswer
	if err := json.Unmarshal([]byte(data), &chunk); err != nil {
		return err
	}
	if len(chunk.Choices) == 0 {
		return eris.Errorf("chunk without a choice: %s", data)
	}
	if text.Len() == 0 {
		a.FirstToken = time.Since(start)
	}
	text.WriteString(chunk.Choices[0].Delta.Content)
	a.UpstreamVM = chunk.SystemFingerprint
	return nil
}

func checkText(text string, chat Chat) error {
	if text != chat.expected() {
		return errNotOwn
	}
	return nil
}
