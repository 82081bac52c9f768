package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"sequoiaspread.example/sequoia/parser"
	"sequoiaspread.example/sequoia/promoter"
)

const (
	// requestTimeout is longer than an election and a commit together.
	requestTimeout = 15 * time.Second
	maxReplyBytes  = 64 << 20
)

// problem is the part of an RFC 9457 reply that this program shows.
type problem struct {
	Type    string              `json:"type"`
	Detail  string              `json:"detail"`
	Outcome string              `json:"outcome"`
	Faults  []parser.Fault      `json:"faults"`
	Version uint64              `json:"version"`
	Winner  *promoter.Promotion `json:"winner"`
}

// client calls the first of several processes that answers.
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
	return &http.Client{Timeout: requestTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
}

// get reads from the first process that answers.
func (c *client) get(ctx context.Context, path string, into any) error {
	var last error
	for _, address := range c.addresses {
		last = c.exchange(ctx, http.MethodGet, address, path, nil, into)
		var failure *ctlError
		if last == nil || (errors.As(last, &failure) && failure.kind == kindRefused) {
			return last
		}
	}
	return last
}

// post sends a request that carries a request id to one process after the other until its outcome is known. Sending it
// again is safe, because the agreement gives a resent id the outcome of the first.
func (c *client) post(ctx context.Context, path string, body, into any) error {
	text, err := json.Marshal(body)
	if err != nil {
		return wrapError("encode request", kindOutput, err)
	}
	var last error
	mayHaveArrived := false
	for _, address := range c.addresses {
		last = c.exchange(ctx, http.MethodPost, address, path, text, into)
		var failure *ctlError
		if !errors.As(last, &failure) || (failure.kind != kindUnknown && failure.kind != kindUnreachable) {
			return last
		}
		mayHaveArrived = mayHaveArrived || failure.kind == kindUnknown
	}
	if mayHaveArrived {
		return wrapError("send request", kindUnknown, last)
	}
	return last
}

func (c *client) exchange(ctx context.Context, method, address, path string, body []byte, into any) error {
	op := method + " " + address + path
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return wrapError(op, kindSettings, err)
	}
	request.Header.Set("Authorization", "Bearer "+c.key)
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return wrapError(op, kindOfTransport(err), err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return wrapError(op, kindUnknown, err)
	}
	if response.StatusCode != http.StatusOK {
		return refusal(op, response.StatusCode, text)
	}
	if err := json.Unmarshal(text, into); err != nil {
		return wrapError(op, kindReply, err)
	}
	return nil
}

// kindOfTransport tells a connection that was not made, over which nothing was sent, from a reply that was lost.
func kindOfTransport(err error) kind {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return kindUnreachable
	}
	return kindUnknown
}

func refusal(op string, status int, text []byte) error {
	var p problem
	if err := json.Unmarshal(text, &p); err != nil || p.Type == "" {
		return newError(op, kindReply, fmt.Sprintf("status %d", status))
	}
	if len(p.Faults) > 0 {
		return newError(op, kindInvalid, faultLines(p.Faults))
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

func faultLines(faults []parser.Fault) string {
	lines := make([]string, 0, len(faults))
	for _, fault := range faults {
		lines = append(lines, fault.String())
	}
	return strings.Join(lines, "\n")
}
