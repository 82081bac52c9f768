package main

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"sequoiaspread.example/sequoia/orderer"
)

// rawResponse answers a request with raw bytes and closes the connection.
func rawResponse(response string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_, _ = io.WriteString(conn, response)
	}
}

// resetResponse answers a request with raw bytes and resets the connection after they have arrived.
func resetResponse(response string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_, _ = io.WriteString(conn, response)
		time.Sleep(20 * time.Millisecond)
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
}

// brokenResponses returns responses of which nothing is taken, each with the status and a body that is whole JSON.
func brokenResponses(status string) map[string]http.HandlerFunc {
	return map[string]http.HandlerFunc{
		"status":        rawResponse("HTTP/1.1 000 Trouble\r\nContent-Length: 2\r\n\r\n{}"),
		"field name":    rawResponse("HTTP/1.1 " + status + "\r\nX-A : 1\r\nContent-Length: 2\r\n\r\n{}"),
		"informational": rawResponse("HTTP/1.1 103 Early Hints\r\nX-A : 1\r\n\r\nHTTP/1.1 " + status + "\r\nContent-Length: 2\r\n\r\n{}"),
		"length":        rawResponse("HTTP/1.1 " + status + "\r\nContent-Length: 100\r\n\r\n{}"),
		"chunks":        rawResponse("HTTP/1.1 " + status + "\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n"),
		"reset":         resetResponse("HTTP/1.1 " + status + "\r\n\r\n{}"),
		"trailer":       rawResponse("HTTP/1.1 " + status + "\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\nX-A : 1\r\n\r\n"),
	}
}

// Guards against a broken answer of an engine being taken for the acceptance of an order, or for another lease holder,
// which would make this one give up its lease.
func TestBrokenAnswerToAnOrderIsAFailure(t *testing.T) {
	result := func(t *testing.T, handler http.HandlerFunc) orderer.Result {
		var replies []orderer.OrderReply
		sender := newOrderSender(collectReplies(&replies))
		sender.send(context.Background(), stubEngine(t, handler), orderer.Send{ID: "o", Deadline: time.Now().Add(time.Minute)})
		return replies[0].Result
	}
	for _, status := range []string{"200 OK", "409 Conflict"} {
		for name, handler := range brokenResponses(status) {
			t.Run(status+", "+name, func(t *testing.T) {
				assert.Equal(t, result(t, handler), orderer.ResultFailed)
			})
		}
	}
	assert.Equal(t, result(t, rawResponse("HTTP/1.1 202 Accepted\r\n\r\n{}")), orderer.ResultAccepted)
}

// Guards against a list or a report that is broken being used.
func TestBrokenListIsNotUsed(t *testing.T) {
	fetch := func(t *testing.T, handler http.HandlerFunc) error {
		o := newObserver(nil)
		defer o.client.CloseIdleConnections()
		var list listReply
		return o.fetchJSON(context.Background(), stubEngine(t, handler), "/v1/vms", &list)
	}
	for name, handler := range brokenResponses("200 OK") {
		t.Run(name, func(t *testing.T) {
			assert.Assert(t, fetch(t, handler) != nil)
		})
	}
	assert.NilError(t, fetch(t, rawResponse("HTTP/1.1 200 OK\r\n\r\n{}")))
}
