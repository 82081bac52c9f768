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
	"sequoiaspread.example/sequoia/verifier"
)

var (
	errInactive = errors.New("no data received within the inactivity timeout")
	errTimedOut = errors.New("service timeout exceeded")
	// errResidencyWithdrawn cancels requests whose availability zone a new residency rule no longer allows.
	errResidencyWithdrawn = errors.New("residency rules no longer allow the availability zone of the request")
)

// outgoingRequest is a request to an upstream or to another gateway.
type outgoingRequest struct {
	client  *upstreamClient
	address netip.AddrPort
	method  string
	path    string
	query   string
	header  http.Header
	body    []byte
	// sendOnce uses a separate connection, on which the request is sent exactly once.
	sendOnce bool
	// firstByteTimeout and nextByteTimeout limit the inactivity before and during the response; 0 means no limit.
	firstByteTimeout time.Duration
	nextByteTimeout  time.Duration
}

// call is one attempt: a request that is sent once, and its response.
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

func (c *call) transport() http.RoundTripper {
	if c.request.sendOnce {
		return c.request.client.single
	}
	return c.request.client.shared
}

// httpRequest leaves GetBody unset, so that net/http cannot send the body a second time.
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
	verified, ok := info.Conn.(*verifier.Conn)
	if !ok {
		return
	}
	tracked, ok := verified.NetConn().(*trackedConn)
	if !ok {
		return
	}
	tracked.beginRequest()
	c.mu.Lock()
	c.conn = tracked
	c.mu.Unlock()
}

// resetInactivityTimer restarts the inactivity timeout after bytes have arrived.
func (c *call) resetInactivityTimer() {
	if c.inactivityTimer != nil && c.request.nextByteTimeout > 0 {
		c.inactivityTimer.Reset(c.request.nextByteTimeout)
	}
}

// stopInactivityTimer suspends the inactivity timeout while the gateway itself does not read.
func (c *call) stopInactivityTimer() {
	if c.inactivityTimer != nil {
		c.inactivityTimer.Stop()
	}
}

// Read reads from the response body and restarts the inactivity timeout.
func (c *call) Read(buffer []byte) (int, error) {
	n, err := c.response.Body.Read(buffer)
	if n > 0 {
		c.resetInactivityTimer()
	}
	return n, err
}

// peekReason returns the start of an error response, in which its reason stands, and leaves the response unread. There is
// none in a response that ends early.
func (c *call) peekReason() []byte {
	text, err := io.ReadAll(io.LimitReader(c, maxErrorBytes))
	c.unread(text)
	if err != nil {
		return nil
	}
	return text
}

// unread puts bytes back before the rest of the response body, whose later error is kept.
func (c *call) unread(text []byte) {
	rest := c.response.Body
	c.response.Body = struct {
		io.Reader
		io.Closer
	}{io.MultiReader(bytes.NewReader(text), rest), rest}
}

// close ends the call. If the response was not read to its end, its connection is closed.
func (c *call) close() {
	c.stopInactivityTimer()
	c.cancel(context.Canceled)
	if c.response != nil {
		_ = c.response.Body.Close()
	}
}

// fail closes the call and returns its failure, classified by what is known about the call.
func (c *call) fail(op string, err error) *failure {
	cause := context.Cause(c.ctx)
	facts := classifier.FailedCall{
		Written:            c.sealWrites(),
		Refused:            c.rejected,
		Responded:          c.response != nil,
		ErrorStatus:        c.errorReported,
		Delivered:          c.delivered,
		Inactive:           errors.Is(cause, errInactive),
		TimedOut:           errors.Is(cause, errTimedOut),
		ResidencyWithdrawn: errors.Is(cause, errResidencyWithdrawn),
	}
	facts.CallerCancelled = cause != nil && !facts.Inactive && !facts.TimedOut && !facts.ResidencyWithdrawn
	c.close()
	if facts.Inactive {
		c.request.client.closeIdle()
	}
	return newFailure(op, classifier.CauseOf(facts), err)
}

// sealWrites reports whether a byte of the request was written, and prevents later writes. After a response the
// connection may already carry the next request, so it isn't sealed.
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
