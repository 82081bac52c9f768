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
	// maxEventBytes limits the size of one event of a stream.
	maxEventBytes = 1 << 20
)

var (
	errTruncated       = eris.New("stream ended without its end marker")
	errContentMismatch = eris.New("response content does not match the request")
)

// Chat is one chat request. Marker is a word of the prompt that the test engine repeats in each token, so that a
// response can be matched to its request.
type Chat struct {
	Service   string
	Model     string
	Rank      string
	Marker    string
	Words     int
	MaxTokens int
	Stream    bool
}

// Response describes the response that a caller received. Its times are measured from the first attempt.
type Response struct {
	FirstToken time.Duration
	Total      time.Duration
	// UpstreamVM ran the request; EntryZone is the availability zone of the entry VM that received it.
	UpstreamVM string
	EntryZone  string
	// Retries counts the failed attempts before this response.
	Retries int
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

// chatResponse is a complete response or one chunk of a stream.
type chatResponse struct {
	SystemFingerprint string `json:"system_fingerprint"`
	Choices           []struct {
		Message chatMessage `json:"message"`
		Delta   chatMessage `json:"delta"`
	} `json:"choices"`
}

// expectedText returns the text with which the test engine answers the request.
func (c Chat) expectedText() string {
	var text strings.Builder
	for i := range c.MaxTokens {
		fmt.Fprintf(&text, "%s-%d ", c.Marker, i)
	}
	return text.String()
}

// body encodes the request. All requests of one length share the words before the marker, as the prompts of one kind of
// kiosk or manual do.
func (c Chat) body() ([]byte, error) {
	prompt := strings.Repeat("word ", c.Words) + "ref:" + c.Marker
	return json.Marshal(chatBody{
		Model: c.Model, Stream: c.Stream, MaxTokens: c.MaxTokens,
		Messages: []chatMessage{{Role: "user", Content: prompt}},
	})
}

// Chat sends a chat request until it is answered; it retries only attempts that were not run.
func (c *Caller) Chat(ctx context.Context, chat Chat) (Response, error) {
	body, err := chat.body()
	if err != nil {
		return Response{}, &Error{Op: "format chat", Kind: KindResponse, cause: err}
	}
	start := time.Now()
	for retries := range maxAttempts {
		response, err := c.attemptChat(ctx, chat, body, start)
		if err == nil {
			response.Retries = retries
			return response, nil
		}
		delay, retry := chatRetry(err)
		if !retry || ctx.Err() != nil {
			return Response{}, err
		}
		sleep(ctx, delay)
	}
	return Response{}, &Error{Op: "chat", Kind: KindTimeout, cause: errTooManyAttempts}
}

// chatRetry returns whether to retry a failed chat request, and after which delay. Only requests that were not run are
// retried.
func chatRetry(err error) (time.Duration, bool) {
	var sessionErr *Error
	if !errors.As(err, &sessionErr) {
		return 0, false
	}
	if sessionErr.Kind == KindProblem {
		return sessionErr.Problem.RetryDelay, sessionErr.Problem.Outcome == outcomeNotRun && sessionErr.Problem.Retryable
	}
	return 0, sessionErr.Kind == KindTransport && isConnectionRefused(err)
}

// isConnectionRefused reports whether the connection was refused, so that nothing was sent.
func isConnectionRefused(err error) bool {
	var urlErr *url.Error
	return errors.As(err, &urlErr) && errors.Is(urlErr.Err, syscall.ECONNREFUSED)
}

func (c *Caller) attemptChat(ctx context.Context, chat Chat, body []byte, start time.Time) (Response, error) {
	entries, err := c.entries(ctx, chat.Service)
	if err != nil {
		return Response{}, err
	}
	entry := entries[0]
	header := http.Header{}
	if chat.Rank != "" {
		header.Set(rankHeader, chat.Rank)
	}
	response, err := c.post(ctx, entry, http.MethodPost, "/v1/chat/completions", header, body)
	if err != nil {
		return Response{}, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		problem := problemError("chat at "+entry.VM, response)
		if problem.Problem.Outcome == outcomeNotRun {
			c.directory.Demote(entry)
		}
		return Response{}, problem
	}
	read := readComplete
	if chat.Stream {
		read = readStream
	}
	result, err := read(response.Body, chat, start)
	if err != nil {
		id := response.Header.Get("X-Request-Id")
		return Response{}, &Error{Op: "read response to request " + id + " at " + entry.VM, Kind: KindResponse, cause: err}
	}
	result.EntryZone = entry.Zone
	return result, nil
}

func readComplete(body io.Reader, chat Chat, start time.Time) (Response, error) {
	var response chatResponse
	if err := decodeBody(body, &response); err != nil {
		return Response{}, err
	}
	if len(response.Choices) != 1 || response.Choices[0].Message.Content != chat.expectedText() {
		return Response{}, errContentMismatch
	}
	elapsed := time.Since(start)
	return Response{FirstToken: elapsed, Total: elapsed, UpstreamVM: response.SystemFingerprint}, nil
}

func readStream(body io.Reader, chat Chat, start time.Time) (Response, error) {
	var response Response
	var text strings.Builder
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, maxEventBytes)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == endMarker {
			response.Total = time.Since(start)
			return response, checkText(text.String(), chat)
		}
		if err := response.addChunk(data, &text, start); err != nil {
			return response, err
		}
	}
	return response, errors.Join(errTruncated, scanner.Err())
}

// addChunk adds one chunk of a stream to the response.
func (r *Response) addChunk(data string, text *strings.Builder, start time.Time) error {
	var chunk chatResponse
	if err := json.Unmarshal([]byte(data), &chunk); err != nil {
		return err
	}
	if len(chunk.Choices) == 0 {
		return eris.Errorf("chunk has no choices: %s", data)
	}
	if text.Len() == 0 {
		r.FirstToken = time.Since(start)
	}
	text.WriteString(chunk.Choices[0].Delta.Content)
	r.UpstreamVM = chunk.SystemFingerprint
	return nil
}

func checkText(text string, chat Chat) error {
	if text != chat.expectedText() {
		return errContentMismatch
	}
	return nil
}
