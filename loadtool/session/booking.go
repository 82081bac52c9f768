package session

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

const keyHeader = "Idempotency-Key"

var errKeyMismatch = eris.New("response does not match the key or path of the request")

// Call is one call of a plain service; Key is empty for an idempotent operation.
type Call struct {
	Service string
	Method  string
	Path    string
	Key     string
	Body    []byte
}

// serviceResponse is the response of the test service plainservice.
type serviceResponse struct {
	VM        string `json:"vm"`
	Key       string `json:"key"`
	Path      string `json:"path"`
	Execution int    `json:"execution"`
}

// Call sends a call until it is answered, through another entry VM at each attempt. A call with a key is also resent
// when its outcome is unknown; if the outcome remains unknown, the error has the kind KindProblem.
func (c *Caller) Call(ctx context.Context, call Call) (Response, error) {
	start := time.Now()
	var lastErr error
	for attempt := range maxAttempts {
		response, err := c.attemptCall(ctx, call, attempt, start)
		if err == nil {
			response.Retries = attempt
			return response, nil
		}
		lastErr = err
		delay, retry := callRetry(call, err)
		if !retry || ctx.Err() != nil {
			return Response{}, err
		}
		sleep(ctx, delay)
	}
	return Response{}, &Error{Op: "call " + call.Path, Kind: KindTimeout, cause: errors.Join(errTooManyAttempts, lastErr)}
}

// callRetry returns whether to retry a failed call, and after which delay. After a problem response the gateway
// decides; after a transport error a call with a key is retried, and one without a key only if it was not sent.
func callRetry(call Call, err error) (time.Duration, bool) {
	var sessionErr *Error
	if !errors.As(err, &sessionErr) {
		return 0, false
	}
	switch sessionErr.Kind {
	case KindProblem:
		return sessionErr.Problem.RetryDelay, sessionErr.Problem.Retryable
	case KindTransport:
		return defaultRetryDelay, call.Key != "" || isConnectionRefused(err)
	default:
		return 0, false
	}
}

func (c *Caller) attemptCall(ctx context.Context, call Call, attempt int, start time.Time) (Response, error) {
	entries, err := c.entries(ctx, call.Service)
	if err != nil {
		return Response{}, err
	}
	entry := entries[attempt%len(entries)]
	return c.CallAt(ctx, entry, call, start)
}

// CallAt makes one attempt of a call at an entry VM; start is when the first attempt began.
func (c *Caller) CallAt(ctx context.Context, entry Entry, call Call, start time.Time) (Response, error) {
	header := http.Header{}
	if call.Key != "" {
		header.Set(keyHeader, call.Key)
	}
	response, err := c.post(ctx, entry, call.Method, "/services/"+call.Service+call.Path, header, call.Body)
	if err != nil {
		return Response{}, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return Response{}, problemError(call.Method+" "+call.Path+" at "+entry.VM, response)
	}
	var body serviceResponse
	if err := decodeBody(response.Body, &body); err != nil {
		return Response{}, &Error{Op: "read response at " + entry.VM, Kind: KindResponse, cause: err}
	}
	if body.Key != call.Key || body.Path != call.Path {
		return Response{}, &Error{Op: "read response at " + entry.VM, Kind: KindResponse, cause: errKeyMismatch}
	}
	return Response{FirstToken: time.Since(start), Total: time.Since(start), UpstreamVM: body.VM, EntryZone: entry.Zone}, nil
}

// Outcome returns the outcome of a key as an entry VM reports it.
func (c *Caller) Outcome(ctx context.Context, entry Entry, key string) (string, error) {
	response, err := c.post(ctx, entry, http.MethodGet, "/v1/outcomes/"+key, http.Header{}, nil)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return "", problemError("get outcome at "+entry.VM, response)
	}
	var body struct {
		Outcome string `json:"outcome"`
	}
	err = decodeBody(response.Body, &body)
	return body.Outcome, err
}

// OpenSession opens a session and returns its key prefix; a session key is the prefix, "." and a number.
func (c *Caller) OpenSession(ctx context.Context) (string, error) {
	var lastErr error
	for range maxAttempts {
		prefix, err := c.attemptOpenSession(ctx)
		if err == nil {
			return prefix, nil
		}
		lastErr = err
		delay, retry := callRetry(Call{}, err)
		if !retry {
			return "", err
		}
		sleep(ctx, delay)
	}
	return "", &Error{Op: "open session", Kind: KindTimeout, cause: errors.Join(errTooManyAttempts, lastErr)}
}

func (c *Caller) attemptOpenSession(ctx context.Context) (string, error) {
	entries, err := c.directory.Entries(ctx)
	if err != nil {
		return "", err
	}
	response, err := c.post(ctx, entries[0], http.MethodPost, "/v1/sessions", http.Header{}, nil)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusCreated {
		return "", problemError("open session at "+entries[0].VM, response)
	}
	var body struct {
		Session string `json:"session"`
	}
	err = decodeBody(response.Body, &body)
	return body.Session, err
}
