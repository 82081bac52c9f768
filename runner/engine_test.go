package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
)

func testServer(t *testing.T, change func(*Config)) (*Engine, *httptest.Server) {
	t.Helper()
	config := DefaultConfig()
	config.TokenInterval = time.Millisecond
	change(&config)
	engine := NewEngine(config)
	engine.models["m"] = modelLoaded
	go engine.Run(t.Context())
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	server := httptest.NewServer(NewServer(engine, logger).Handler())
	t.Cleanup(server.Close)
	return engine, server
}

func chat(t *testing.T, server *httptest.Server, body, last string) (text string, err error) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL+"/v1/chat/completions", strings.NewReader(body))
	assert.NilError(t, err)
	request.Header.Set(requestIDHeader, "r1")
	if last != "" {
		request.Header.Set(lastEventHeader, last)
	}
	response, err := server.Client().Do(request)
	assert.NilError(t, err)
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return string(data), err
}

const streamBody = `{"model":"m","stream":true,"max_tokens":8,"messages":[{"role":"user","content":"hello ref:abc"}]}`

// Guards against a resumed stream that repeats or leaves out a token, which would make every resume test wrong.
func TestResume(t *testing.T) {
	_, server := testServer(t, func(c *Config) { c.BreakEvery = 1 })
	first, err := chat(t, server, streamBody, "")
	assert.Assert(t, err != nil, "the stream must break")
	assert.Assert(t, strings.Contains(first, "abc-4 ") && !strings.Contains(first, "abc-5 "))
	second, err := chat(t, server, streamBody, "5")
	assert.NilError(t, err)
	assert.Assert(t, !strings.Contains(second, "abc-4 "))
	for i := 5; i < 8; i++ {
		assert.Equal(t, strings.Count(second, fmt.Sprintf("abc-%d ", i)), 1)
	}
	assert.Assert(t, strings.HasSuffix(second, "data: [DONE]\n\n"))
}

// Guards against an engine that ignores priorities or its batch limit, which would make rank measurements meaningless.
func TestAdmitByPriority(t *testing.T) {
	config := DefaultConfig()
	config.BatchLimit = 1
	engine := NewEngine(config)
	engine.models["m"] = modelLoaded
	for i, priority := range []int{5, 1, 3} {
		j := newJob(fmt.Sprint(i), chatRequest{Model: "m", Priority: priority, MaxTokens: 1})
		assert.Assert(t, engine.Submit(j) == nil)
	}
	var order []string
	for engine.Step(time.Now()) {
		for id, j := range engine.jobs {
			if j.done {
				order = append(order, id)
				engine.cancel(j)
			}
		}
	}
	assert.DeepEqual(t, order, []string{"1", "2", "0"})
}

// Guards against a prefix cache that grows beyond its memory, and against a repeated prompt that is not cached.
func TestPrefixCache(t *testing.T) {
	held := newCache()
	prompt := strings.Fields(strings.Repeat("word ", 40))
	assert.Equal(t, len(held.add(blocksOf(prompt))), 2)
	assert.Equal(t, held.hits(blocksOf(append(prompt, "more"))), 2)
	assert.Equal(t, len(held.shrink(blockTokens)), 1)
	assert.Equal(t, held.tokens(), blockTokens)
}

// Guards against an old order being applied where numbers are checked, and refused where they are ignored.
func TestFencingNumbers(t *testing.T) {
	for _, checks := range []bool{true, false} {
		_, server := testServer(t, func(c *Config) { c.ChecksFencingNumbers = checks })
		old := http.StatusOK
		if checks {
			old = http.StatusConflict
		}
		for _, try := range []struct{ number, want int }{{7, http.StatusOK}, {6, old}, {7, http.StatusOK}} {
			body := fmt.Sprintf(`{"fencing-number":%d,"order-id":"o","model":"n","state":"loaded"}`, try.number)
			response, err := server.Client().Post(server.URL+"/v1/orders", "application/json", bytes.NewBufferString(body))
			assert.NilError(t, err)
			response.Body.Close()
			assert.Equal(t, response.StatusCode, try.want)
		}
	}
}

// Guards against an engine that still takes work while leaving, which would hide work sent to it.
func TestLeavingRefuses(t *testing.T) {
	engine, server := testServer(t, func(c *Config) { c.LeaveNotice = 0 })
	engine.Leave()
	text, err := chat(t, server, streamBody, "")
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(text, "leaving"))
	response, err := server.Client().Get(server.URL + "/health")
	assert.NilError(t, err)
	response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
}
