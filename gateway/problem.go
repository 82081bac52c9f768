package main

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"sequoiaspread.example/sequoia/classifier"
)

const (
	problemPrefix      = "urn:sequoiaspread:problem:"
	problemContentType = "application/problem+json"
	// defaultRetryAfter is used when no queue provides a better estimate.
	defaultRetryAfter = time.Second
)

// problem is a problem document of RFC 9457. The error member makes it readable for OpenAI clients.
type problem struct {
	Type      string             `json:"type"`
	Title     string             `json:"title"`
	Status    int                `json:"status"`
	Detail    string             `json:"detail,omitempty"`
	Outcome   classifier.Outcome `json:"outcome"`
	RequestID string             `json:"request-id,omitempty"`
	Error     problemError       `json:"error"`
}

type problemError struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}

func newProblem(f *failure, requestID string, keyStatus classifier.KeyStatus) problem {
	entry := classifier.Lookup(f.kind)
	return problem{
		Type:      problemPrefix + string(entry.Cause),
		Title:     entry.Title,
		Status:    entry.Status,
		Detail:    f.detail,
		Outcome:   f.outcome(keyStatus),
		RequestID: requestID,
		Error:     problemError{Message: entry.Title, Type: string(entry.Cause), Code: string(entry.Cause)},
	}
}

// writeProblem responds with a problem document. X-Should-Retry prevents clients that retry by status code from
// resending a request that may have run.
func writeProblem(w http.ResponseWriter, f *failure, requestID string, keyStatus classifier.KeyStatus) {
	document := newProblem(f, requestID, keyStatus)
	retries := classifier.Lookup(f.kind).RetryAfter
	header := w.Header()
	header.Set("Content-Type", problemContentType)
	header.Set("X-Should-Retry", strconv.FormatBool(retries))
	if retries {
		header.Set("Retry-After", retryAfterSeconds(f.retryAfter))
	}
	w.WriteHeader(document.Status)
	_ = json.NewEncoder(w).Encode(document)
}

func retryAfterSeconds(wait time.Duration) string {
	if wait <= 0 {
		wait = defaultRetryAfter
	}
	return strconv.Itoa(int(math.Ceil(wait.Seconds())))
}
