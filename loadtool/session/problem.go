package session

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"
)

const (
	outcomeNotRun = "not-run"
	// maxProblemBytes limits the size of an error response.
	maxProblemBytes = 64 << 10
	// defaultRetryDelay is used if an error response has no Retry-After header.
	defaultRetryDelay = 200 * time.Millisecond
)

// Problem is an error response of a gateway in the format of RFC 9457.
type Problem struct {
	Type       string        `json:"type"`
	Detail     string        `json:"detail"`
	Status     int           `json:"status"`
	Outcome    string        `json:"outcome"`
	RequestID  string        `json:"request-id"`
	RetryDelay time.Duration `json:"-"`
	// Retryable reports whether the gateway sent a Retry-After header.
	Retryable bool `json:"-"`
}

func readProblem(response *http.Response) Problem {
	var problem Problem
	text, err := io.ReadAll(io.LimitReader(response.Body, maxProblemBytes))
	if err != nil || json.Unmarshal(text, &problem) != nil {
		problem.Type = "unreadable"
	}
	problem.Status = response.StatusCode
	problem.RetryDelay = defaultRetryDelay
	seconds, err := strconv.Atoi(response.Header.Get("Retry-After"))
	if err == nil {
		problem.RetryDelay = time.Duration(seconds) * time.Second
		problem.Retryable = true
	}
	return problem
}

func problemError(op string, response *http.Response) *Error {
	return &Error{Op: op, Kind: KindProblem, Problem: readProblem(response)}
}
