package main

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// send makes a request as the test organisation, on a new connection.
func (f *fleet) send(method, url, body string, header ...string) *http.Response {
	f.t.Helper()
	fields := http.Header{}
	for i := 0; i+1 < len(header); i += 2 {
		fields.Set(header[i], header[i+1])
	}
	return f.sendHeader(method, url, body, fields)
}

// sendHeader sends a request with header fields that may be repeated.
func (f *fleet) sendHeader(method, url, body string, header http.Header) *http.Response {
	f.t.Helper()
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	assert.NilError(f.t, err)
	request.Close = true
	request.Header.Set("Authorization", "Bearer demo-kiosks")
	maps.Copy(request.Header, header)
	response, err := http.DefaultTransport.RoundTrip(request)
	assert.NilError(f.t, err)
	f.t.Cleanup(func() { _ = response.Body.Close() })
	return response
}

func (f *fleet) chat(g *testGateway, header ...string) *http.Response {
	return f.send("POST", g.url(chatPath), streamedBody, header...)
}

const (
	streamedBody = `{"model":"paws-chat","stream":true,"messages":[{"role":"user","content":"private words"}]}`
	bufferedBody = `{"model":"paws-chat","messages":[{"role":"user","content":"private words"}]}`
)

func readAll(t *testing.T, response *http.Response) string {
	t.Helper()
	text, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return string(text)
}

func decodeProblem(t *testing.T, response *http.Response) problem {
	t.Helper()
	var p problem
	assert.NilError(t, json.Unmarshal([]byte(readAll(t, response)), &p))
	assert.Equal(t, p.Status, response.StatusCode)
	return p
}

// readTokens returns the contents of the stream's chunks, and the data of its last events.
func readTokens(t *testing.T, body io.Reader) (list []string, end string) {
	t.Helper()
	reader := newEventReader(body)
	for {
		e, err := reader.next()
		switch {
		case err != nil:
			return list, end
		case e.isDone() || e.name != "":
			end += string(e.data)
		default:
			list = append(list, string(e.data))
		}
	}
}
