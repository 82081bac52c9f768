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
	// maxProblemBytes bounds what is read of an error answer.
	maxProblemBytes = 64 << 10
	// defaultRetry is used when an error answer names no time.
	defaultRetry = 200 * time.Millisecond
)

// Problem is an error answer of a gateway, in the form of RFC 9457.
type Problem struct {
	Type      string        `json:"type"`
	Detail    string        `json:"detail"`
	Status    int           `json:"status"`
	Outcome   string        `json:"outcome"`
	RequestID string        `json:"request-id"`
	Retry     time.Duration `json:"-"`
	// Retryable says that the gateway named a time after which to retry.
	Retryable bool `json:"-"`
}

func readProblem(response *http.Response) Problem {
	var problem Problem
	text, err := io.ReadAll(io.LimitReader(response.Body, maxProblemBytes))
	if err != nil || json.Unmarshal(text, &problem) != nil {
		problem.Type = "unreadable"
	}
	problem.Status = response.StatusCode
	problem.Retry = defaultRetry
	seconds, err := strconv.Atoi(response.Header.Get("Retry-After"))
	if err == nil {
		problem.Retry = time.Duration(seconds) * time.Second
		problem.Retryable = true
	}
	return problem
}

func problemError(op string, response *http.Response) *Error {
	return &Error{Op: op, Kind: KindProblem, Problem: readProblem(response)}
}
