package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"gotest.tools/v3/assert"
	"sequoiaspread.example/sequoia/classifier"
)

// Guards against responses that the official OpenAI client cannot read.
func TestOpenAIClient(t *testing.T) {
	f := newFleet(t, "", "a-1")
	engine := f.addEngine("a", "engine-1", func(w http.ResponseWriter, r *http.Request, _ int) bool {
		body, _ := io.ReadAll(r.Body)
		if !strings.Contains(string(body), `"stream":true`) {
			w.Header().Set("Content-Type", "application/json")
			_, _ = io.WriteString(w, `{"id":"1","object":"chat.completion","choices":[{"index":0,"message":{"role":"assistant","content":"whole"}}]}`)
			return true
		}
		for i := range 3 {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: {\"id\":\"1\",\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"t%d \"}}]}\n\n", i+1, i)
		}
		_, _ = io.WriteString(w, "data: [DONE]\n\n")
		return true
	})
	f.start()
	transport := &http.Transport{DisableKeepAlives: true}
	client := openai.NewClient(option.WithBaseURL(f.firstGateway().url("/v1/")), option.WithAPIKey("demo-kiosks"), option.WithHTTPClient(&http.Client{Transport: transport}))
	ctx := context.Background()
	params := openai.ChatCompletionNewParams{Model: "paws-chat", Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("hello")}}
	completion, err := client.Chat.Completions.New(ctx, params)
	assert.NilError(t, err)
	assert.Equal(t, completion.Choices[0].Message.Content, "whole")
	stream := client.Chat.Completions.NewStreaming(ctx, params)
	text := ""
	for stream.Next() {
		text += stream.Current().Choices[0].Delta.Content
	}
	assert.NilError(t, stream.Err())
	assert.Equal(t, text, "t0 t1 t2 ")
	models, err := client.Models.List(ctx)
	assert.NilError(t, err)
	assert.Equal(t, models.Data[0].ID, "paws-chat")
	params.Model = "none"
	var refused *openai.Error
	_, err = client.Chat.Completions.New(ctx, params)
	assert.Assert(t, err != nil)
	assert.ErrorType(t, err, refused)
	params.Model = "paws-chat"
	before := engine.count()
	engine.script = func(w http.ResponseWriter, _ *http.Request, _ int) bool {
		sendTokens(w, 0, 0)
		_, _ = io.WriteString(w, "id: 1\ndata: {\"choices\":[]}\n\n")
		return true
	}
	stream = client.Chat.Completions.NewStreaming(ctx, params)
	for stream.Next() {
		continue
	}
	assert.ErrorContains(t, stream.Err(), "stream-interrupted")
	assert.Assert(t, engine.count()-before <= 3)
}

// rawRequest writes raw bytes and returns the status of the response, or 0 if there is none.
func rawRequest(t *testing.T, g *testGateway, text string, halfClose bool) int {
	t.Helper()
	conn, err := net.Dial("tcp", g.settings.CallerAddress.String())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(testTimeout)))
	_, _ = io.WriteString(conn, text)
	if halfClose {
		assert.NilError(t, conn.(*net.TCPConn).CloseWrite())
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// Guards against a malformed request that is run, holds a connection indefinitely or crashes the process.
func TestMalformedRequests(t *testing.T) {
	f := newFleet(t, "", "a-1")
	engine := f.addEngine("a", "engine-1", nil)
	f.start()
	g := f.firstGateway()
	post := func(body, cause string) {
		t.Helper()
		p := decodeProblem(t, f.send("POST", g.url(chatPath), body))
		assert.Equal(t, p.Type, problemPrefix+cause)
		assert.Equal(t, p.Outcome, classifier.OutcomeNotRun)
	}
	post(`{"model":"paws-chat","messages":[]`, "invalid-json")
	post(strings.Repeat("[", maxBodyBytes-1), "invalid-json")
	post("{\"model\":\"paws-chat\",\"messages\":[\"\xff\"]}", "invalid-utf-8")
	post(`{"model":7,"messages":[]}`, "invalid-request")
	post(`{"model":"paws-chat"}`, "invalid-request")
	post(`{"model":"other","messages":[]}`, "unknown-model")
	post(strings.Repeat(" ", maxBodyBytes+1), "body-too-large")
	unknown := f.send("POST", g.url(chatPath), bufferedBody, "Authorization", "Bearer wrong")
	assert.Equal(t, unknown.StatusCode, http.StatusUnauthorized)
	assert.Equal(t, decodeProblem(t, f.send("POST", g.url("/services/core/bookings"), "")).Type, problemPrefix+"key-missing")
	assert.Equal(t, decodeProblem(t, f.send("GET", g.url("/services/core/a%2Fb"), "")).Type, problemPrefix+"invalid-request")
	assert.Equal(t, f.send("GET", g.url("/none"), "").StatusCode, http.StatusNotFound)
	assert.Equal(t, f.send("DELETE", g.url(chatPath), "").StatusCode, http.StatusMethodNotAllowed)
	for _, name := range []string{headerIdempotencyKey, headerRank, "Content-Type"} {
		p := decodeProblem(t, f.sendHeader("POST", g.url("/services/core/bookings"), "", http.Header{name: {"a", "b"}}))
		assert.Equal(t, p.Type, problemPrefix+"invalid-request", "two values of %s", name)
		assert.Equal(t, p.Outcome, classifier.OutcomeNotRun)
	}
	head := "POST " + chatPath + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer demo-kiosks\r\n"
	assert.Equal(t, rawRequest(t, g, head+"Content-Length: 100\r\n\r\n{\"model\"", true), http.StatusBadRequest)
	assert.Equal(t, rawRequest(t, g, head+"X-Large: "+strings.Repeat("x", 2*maxHeaderBytes)+"\r\n\r\n", false), http.StatusRequestHeaderFieldsTooLarge)
	assert.Equal(t, rawRequest(t, g, "garbage\r\n\r\n", false), http.StatusBadRequest)
	assert.Equal(t, rawRequest(t, g, head, false), 0)
	assert.Equal(t, engine.count(), 0)
	f.waitFor("no request is in progress", func() bool { return g.activeCount.Load() == 0 })
}

// Guards against a slow caller that holds an upstream or blocks other callers.
func TestSlowCallers(t *testing.T) {
	f := newFleet(t, "", "a-1")
	f.addEngine("a", "engine-1", nil)
	f.start()
	g := f.firstGateway()
	conn, err := net.Dial("tcp", g.settings.CallerAddress.String())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer demo-kiosks\r\nContent-Length: %d\r\n\r\n%s", chatPath, len(bufferedBody), bufferedBody[:10])
	assert.NilError(t, err)
	f.waitFor("slow request is in progress", func() bool { return g.activeCount.Load() == 1 })
	assert.Equal(t, f.send("POST", g.url(chatPath), bufferedBody).StatusCode, http.StatusOK)
	for _, b := range []byte(bufferedBody[10:]) {
		_, err = conn.Write([]byte{b})
		assert.NilError(t, err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusOK)
	_ = response.Body.Close()
}

// Guards against a caller that stops reading and thereby holds its upstream, or makes the gateway buffer the response.
func TestCallerStopsReading(t *testing.T) {
	t.Parallel()
	f := newFleet(t, "", "a-1")
	cancelled := make(chan struct{})
	large := strings.Repeat("x", maxEventBytes/2)
	f.addEngine("a", "engine-1", func(w http.ResponseWriter, r *http.Request, attempt int) bool {
		if attempt > 1 {
			return false
		}
		sendTokens(w, 0, 1)
		for i := 2; r.Context().Err() == nil; i++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, large)
		}
		close(cancelled)
		return true
	})
	f.start()
	stalled := f.chat(f.firstGateway())
	assert.Equal(t, stalled.StatusCode, http.StatusOK)
	assert.Equal(t, f.chat(f.firstGateway()).StatusCode, http.StatusOK)
	select {
	case <-cancelled:
	case <-time.After(writeTimeout + inactivityTimeout):
		t.Fatal("upstream call was not cancelled")
	}
}

func FuzzDecodeChat(f *testing.F) {
	f.Add([]byte(bufferedBody))
	f.Add([]byte(`{"model":"a","messages":[{"content":[{"type":"text"}]}],"priority":-5}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		body, err := decodeChat(text)
		if err != nil {
			return
		}
		req := &callerRequest{body: text, model: body.Model}
		req.setPrompt(body.Messages)
		_, err = req.bodyWithPriority()
		assert.NilError(t, err)
	})
}

func FuzzEvents(f *testing.F) {
	f.Add("id: 1\ndata: a\n\ndata: [DONE]\n\n")
	f.Add(":comment\r\nevent: error\r\ndata\r\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		reader := newEventReader(strings.NewReader(text))
		for {
			e, err := reader.next()
			if err != nil {
				return
			}
			copied, err := newEventReader(strings.NewReader(string(appendEvent(nil, e.id, e.name, e.data)))).next()
			assert.NilError(t, err)
			assert.Equal(t, string(copied.data), string(e.data))
		}
	})
}
