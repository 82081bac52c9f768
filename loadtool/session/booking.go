package session

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

const keyHeader = "Idempotency-Key"

var errOtherKey = eris.New("answer belongs to another key")

// Call is one call of a plain service; Key is empty for an idempotent operation.
type Call struct {
	Service string
	Method  string
	Path    string
	Key     string
	Body    []byte
}

// serviceAnswer is the answer of the stand-in for plain services.
type serviceAnswer struct {
	VM        string `json:"vm"`
	Key       string `json:"key"`
	Path      string `json:"path"`
	Execution int    `json:"execution"`
}

// Call sends a call until it is answered. With a key it also resends after an unclear end, through another entry VM;
// the error of a call whose outcome stays unknown is a KindProblem.
func (c *Caller) Call(ctx context.Context, call Call) (Answer, error) {
	start := time.Now()
	var last error
	for try := range tryLimit {
		answer, err := c.tryCall(ctx, call, try, start)
		if err == nil {
			answer.Refusals = try
			return answer, nil
		}
		last = err
		pause, again := resendCall(call, err)
		if !again || ctx.Err() != nil {
			return Answer{}, err
		}
		wait(ctx, pause)
	}
	return Answer{}, &Error{Op: "call " + call.Path, Kind: KindTimeout, cause: errors.Join(errTries, last)}
}

// resendCall says whether to resend a failed call: anything with a key unless the gateway says that a resend does not
// help, and without a key only what was not run.
func resendCall(call Call, err error) (time.Duration, bool) {
	var known *Error
	if !errors.As(err, &known) {
		return 0, false
	}
	switch known.Kind {
	case KindProblem:
		return known.Problem.Retry, known.Problem.Retryable
	case KindTransport:
		return defaultRetry, call.Key != "" || refusedConnection(err)
	default:
		return 0, false
	}
}

func (c *Caller) tryCall(ctx context.Context, call Call, try int, start time.Time) (Answer, error) {
	entries, err := c.entries(ctx, call.Service)
	if err != nil {
		return Answer{}, err
	}
	entry := entries[try%len(entries)]
	return c.CallAt(ctx, entry, call, start)
}

// CallAt sends a call once to one entry VM.
func (c *Caller) CallAt(ctx context.Context, entry Entry, call Call, start time.Time) (Answer, error) {
	header := http.Header{}
	if call.Key != "" {
		header.Set(keyHeader, call.Key)
	}
	response, err := c.post(ctx, entry, call.Method, "/services/"+call.Service+call.Path, header, call.Body)
	if err != nil {
		return Answer{}, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return Answer{}, problemError(call.Method+" "+call.Path+" at "+entry.VM, response)
	}
	var body serviceAnswer
	if err := json.NewDecoder(response.Body).Decode(&body); err != nil {
		return Answer{}, &Error{Op: "read answer at " + entry.VM, Kind: KindAnswer, cause: err}
	}
	if body.Key != call.Key || body.Path != call.Path {
		return Answer{}, &Error{Op: "read answer at " + entry.VM, Kind: KindAnswer, cause: errOtherKey}
	}
	return Answer{FirstToken: time.Since(start), Whole: time.Since(start), UpstreamVM: body.VM, EntryZone: entry.Zone}, nil
}

// Outcome asks one entry VM what is known of a key.
func (c *Caller) Outcome(ctx context.Context, entry Entry, key string) (string, error) {
	response, err := c.post(ctx, entry, http.MethodGet, "/v1/outcomes/"+key, http.Header{}, nil)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return "", problemError("ask outcome at "+entry.VM, response)
	}
	var body struct {
		Outcome string `json:"outcome"`
	}
	return body.Outcome, json.NewDecoder(response.Body).Decode(&body)
}

// OpenSession opens a session and returns the prefix of its keys, to which "." and a number are added.
func (c *Caller) OpenSession(ctx context.Context) (string, error) {
	var last error
	for range tryLimit {
		prefix, err := c.tryOpenSession(ctx)
		if err == nil {
			return prefix, nil
		}
		last = err
		pause, again := resendCall(Call{}, err)
		if !again {
			return "", err
		}
		wait(ctx, pause)
	}
	return "", &Error{Op: "open session", Kind: KindTimeout, cause: errors.Join(errTries, last)}
}

func (c *Caller) tryOpenSession(ctx context.Context) (string, error) {
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
	return body.Session, json.NewDecoder(response.Body).Decode(&body)
}
