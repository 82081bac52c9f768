package main

import (
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"regexp"
)

const (
	headerTraceParent = "Traceparent"
	headerTraceState  = "Tracestate"
)

var traceParentPattern = regexp.MustCompile(`^[0-9a-f]{2}-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})`)

// traceContext is the W3C trace context of a request.
type traceContext struct {
	traceID string
	flags   string
	state   string
}

// readTrace returns the trace context of a caller, or a new one if the caller sent no valid one.
func readTrace(header http.Header) traceContext {
	match := traceParentPattern.FindStringSubmatch(header.Get(headerTraceParent))
	if match == nil {
		return traceContext{traceID: randomHex(16), flags: "00"}
	}
	return traceContext{traceID: match[1], flags: match[3], state: header.Get(headerTraceState)}
}

// setHeaders writes the context with a new span as the parent.
func (t traceContext) setHeaders(header http.Header) {
	header.Set(headerTraceParent, "00-"+t.traceID+"-"+randomHex(8)+"-"+t.flags)
	if t.state != "" {
		header.Set(headerTraceState, t.state)
	}
}

func randomHex(bytes int) string {
	buffer := make([]byte, bytes)
	_, _ = rand.Read(buffer)
	return hex.EncodeToString(buffer)
}
