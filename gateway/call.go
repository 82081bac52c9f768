package main

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/url"
	"sync"
	"time"

	"sequoiaspread.example/sequoia/classifier"
)

var (
	errInactive = errors.New("connection carried no byte for the stated time")
	errTimedOut = errors.New("time limit of the service passed")
	// errWithdrawn ends requests whose place a new residency rule no longer allows.
	errResidencyWithdrawn = errors.New("residency no longer allows the place of the request")
)

// callRequest is what is sent to an upstream or another gateway.
type outgoingRequest struct {
	client  *upstreamClient
	address netip.AddrPort
	method  string
	path    string
	query   string
	header  http.Header
	body    []byte
	// once selects a connection of its own, on which the request is sent exactly once.
	sendOnce bool
	// firstByte and nextByte bound the silence before and within the answer; 0 means no bound.
	firstByteTimeout time.Duration
	nextByteTimeout  time.Duration
}

// call is one attempt: a request sent once and its response.
type call struct {
	request         outgoingRequest
	ctx             context.Context
	cancel          context.CancelCauseFunc
	inactivityTimer *time.Timer
	response        *http.Response

	mu            sync.Mutex
	conn          *trackedConn
	rejected      bool
	errorReported bool
	delivered     bool
}

// startCall sends a request and waits for the response headers.
func startCall(parent context.Context, request outgoingRequest) (*call, error) {
	ctx, cancel := context.WithCancelCause(parent)
	c := &call{request: request, ctx: ctx, cancel: cancel}
	if request.firstByteTimeout > 0 {
		c.inactivityTimer = time.AfterFunc(request.firstByteTimeout, func() { cancel(errInactive) })
	}
	response, err := c.transport().RoundTrip(c.httpRequest())
	if err != nil {
		return c, c.fail("send request", err)
	}
	c.response = response
	return c, nil
}

func (c *call) transport() *http.Transport {
	if c.request.sendOnce {
		return c.request.client.single
	}
	return c.request.client.shared
}

// httpRequest sets no GetBody, so that the HTTP library cannot send the body a second time.
func (c *call) httpRequest() *http.Request {
	trace := &httptrace.ClientTrace{GotConn: c.gotConn}
	ctx := httptrace.WithClientTrace(c.ctx, trace)
	request := (&http.Request{
		Method:        c.request.method,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        c.request.header,
		ContentLength: int64(len(c.request.body)),
		Host:          c.request.address.String(),
	}).WithContext(ctx)
	request.URL = requestURL(c.request)
	if len(c.request.body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(c.request.body))
	}
	return request
}

func (c *call) gotConn(info httptrace.GotConnInfo) {
	tracked, ok := info.Conn.(*trackedConn)
	if !ok {
		return
	}
	tracked.beginRequest()
	c.mu.Lock()
	c.conn = tracked
	c.mu.Unlock()
}

// heard restarts the bound on silence after bytes arrived.
func (c *call) resetInactivityTimer() {
	if c.inactivityTimer != nil && c.request.nextByteTimeout > 0 {
		c.inactivityTimer.Reset(c.request.nextByteTimeout)
	}
}

// pause stops the bound on silence while the gateway itself does not read.
func (c *call) stopInactivityTimer() {
	if c.inactivityTimer != nil {
		c.inactivityTimer.Stop()
	}
}

// Read reads the answer and restarts the bound on silence.
func (c *call) Read(buffer []byte) (int, error) {
	n, err := c.response.Body.Read(buffer)
	if n > 0 {
		c.resetInactivityTimer()
	}
	return n, err
}

// close ends the call; a response that was not read to its end closes its connection.
func (c *call) close() {
	c.stopInactivityTimer()
	c.cancel(context.Canceled)
	if c.response != nil {
		_ = c.response.Body.Close()
	}
}

// fail ends the call and states what is known about it.
func (c *call) fail(op string, err error) *failure {
	cause := context.Cause(c.ctx)
	facts := classifier.FailedCall{
		Written:            c.sealWrites(),
		Refused:            c.rejected,
		Responded:          c.response != nil,
		ErrorStatus:        c.errorReported,
		Delivered:          c.delivered,
		Silent:             errors.Is(cause, errInactive),
		TimedOut:           errors.Is(cause, errTimedOut),
		ResidencyWithdrawn: errors.Is(cause, errResidencyWithdrawn),
	}
	facts.CallerGone = cause != nil && !facts.Silent && !facts.TimedOut && !facts.ResidencyWithdrawn
	c.close()
	if facts.Silent {
		c.request.client.closeIdle()
	}
	return newFailure(op, classifier.CauseOf(facts), err)
}

// written reports whether a byte of the request was written, and prevents that one is written later. With a response
// the connection may already carry the next request, so it is left alone.
func (c *call) sealWrites() bool {
	if c.response != nil {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.conn != nil && c.conn.seal()
}

func requestURL(request outgoingRequest) *url.URL {
	return &url.URL{Scheme: "http", Host: request.address.String(), Path: request.path, RawQuery: request.query}
}
