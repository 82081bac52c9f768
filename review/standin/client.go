package main

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// call makes one call on a new channel and closes it. The status is 0 without an answer.
func call(method, address, path, body string, timeout time.Duration) (int, string) {
	status, _, text := send(request{method: method, address: address, path: path, body: body, timeout: timeout})
	return status, text
}

// request is one request of a client.
type request struct {
	method, address, path, body string
	id                          string
	timeout                     time.Duration
	header                      map[string]string
}

// send sends a request on a new channel and closes that.
func send(r request) (int, http.Header, string) {
	sent, err := http.NewRequest(r.method, "http://"+r.address+r.path, strings.NewReader(r.body))
	if err != nil {
		return 0, nil, ""
	}
	sent.Host = host
	if r.id != "" {
		sent.Header.Set("Attempt-Id", r.id)
		sent.Header.Set("Deadline-Ms", strconv.FormatInt(r.timeout.Milliseconds(), 10))
	}
	for name, value := range r.header {
		sent.Header.Set(name, value)
	}
	client := &http.Client{
		Timeout: r.timeout, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	response, err := client.Do(sent)
	if err != nil {
		return 0, nil, ""
	}
	defer func() { _ = response.Body.Close() }()
	var text bytes.Buffer
	if _, err := io.Copy(&text, response.Body); err != nil {
		return 0, response.Header, text.String()
	}
	return response.StatusCode, response.Header, text.String()
}
