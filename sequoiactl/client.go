package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"sequoiaspread.example/sequoia/parser"
	"sequoiaspread.example/sequoia/promoter"
	"sequoiaspread.example/sequoia/verifier"
)

const (
	// requestTimeout exceeds the time of an election followed by a commit.
	requestTimeout = 15 * time.Second
	maxReplyBytes  = 64 << 20
)

// problem holds the members of an RFC 9457 problem that this program displays.
type problem struct {
	Type    string              `json:"type"`
	Detail  string              `json:"detail"`
	Outcome string              `json:"outcome"`
	Faults  []parser.Fault      `json:"faults"`
	Version uint64              `json:"version"`
	Winner  *promoter.Promotion `json:"winner"`
}

// client sends requests to several processes in order, until one of them responds.
type client struct {
	addresses []string
	key       string
	http      *http.Client
}

func (o *options) newClient() (*client, error) {
	text, err := os.ReadFile(o.keyFile)
	if err != nil {
		return nil, wrapError("read operator key", kindSettings, err)
	}
	return &client{addresses: o.controllers, key: strings.TrimSpace(string(text)), http: newHTTPClient()}, nil
}

func newHTTPClient() *http.Client {
	transport := verifier.NewTransport(verifier.TransportConfig{Base: &http.Transport{DisableKeepAlives: true}})
	return &http.Client{Timeout: requestTimeout, Transport: transport}
}

// get decodes the response of the first process that responds into target. A refusal is not retried.
func (c *client) get(ctx context.Context, path string, target any) error {
	var lastErr error
	for _, address := range c.addresses {
		lastErr = c.send(ctx, http.MethodGet, address, path, nil, target)
		var ctlErr *ctlError
		if lastErr == nil || (errors.As(lastErr, &ctlErr) && ctlErr.kind == kindRefused) {
			return lastErr
		}
	}
	return lastErr
}

// post sends a request that carries a request id to the processes in order, until its outcome is known. Retries are
// idempotent, because the controllers return the first outcome for a request id that is resent.
func (c *client) post(ctx context.Context, path string, body, target any) error {
	text, err := json.Marshal(body)
	if err != nil {
		return wrapError("encode request", kindOutput, err)
	}
	var lastErr error
	maybeReceived := false
	for _, address := range c.addresses {
		lastErr = c.send(ctx, http.MethodPost, address, path, text, target)
		var ctlErr *ctlError
		if !errors.As(lastErr, &ctlErr) || (ctlErr.kind != kindUnknown && ctlErr.kind != kindUnreachable) {
			return lastErr
		}
		maybeReceived = maybeReceived || ctlErr.kind == kindUnknown
	}
	if maybeReceived {
		return wrapError("send request", kindUnknown, lastErr)
	}
	return lastErr
}

func (c *client) send(ctx context.Context, method, address, path string, body []byte, target any) error {
	op := method + " " + address + path
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return wrapError(op, kindSettings, err)
	}
	request.Header.Set("Authorization", "Bearer "+c.key)
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return wrapError(op, transportErrorKind(err), err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := verifier.ReadBody(response.Body, maxReplyBytes)
	if err != nil {
		return wrapError(op, kindUnknown, err)
	}
	if response.StatusCode != http.StatusOK {
		return problemError(op, response.StatusCode, text)
	}
	if err := json.Unmarshal(text, target); err != nil {
		return wrapError(op, kindReply, err)
	}
	return nil
}

// transportErrorKind returns kindUnreachable if no connection was made, so that nothing was sent, and kindUnknown if
// the request may have arrived.
func transportErrorKind(err error) errorKind {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return kindUnreachable
	}
	return kindUnknown
}

func problemError(op string, status int, text []byte) error {
	var p problem
	if err := json.Unmarshal(text, &p); err != nil || p.Type == "" {
		return newError(op, kindReply, fmt.Sprintf("status %d", status))
	}
	if len(p.Faults) > 0 {
		return newError(op, kindInvalid, formatFaults(p.Faults))
	}
	if p.Outcome != "not-run" {
		return newError(op, kindUnknown, p.Detail)
	}
	detail := strings.TrimPrefix(p.Type, "urn:sequoiaspread:problem:") + ": " + p.Detail
	if p.Winner != nil {
		detail += fmt.Sprintf(" (version %d was promoted by %s, digest %.12s)", p.Winner.Version, p.Winner.Operator, p.Winner.Digest)
	}
	return newError(op, kindRefused, detail)
}

func formatFaults(faults []parser.Fault) string {
	lines := make([]string, 0, len(faults))
	for _, fault := range faults {
		lines = append(lines, fault.String())
	}
	return strings.Join(lines, "\n")
}
