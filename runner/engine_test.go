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

func testServer(t *testing.T, configure func(*Config)) (*Engine, *httptest.Server) {
	t.Helper()
	config := DefaultConfig()
	config.TokenInterval = time.Millisecond
	configure(&config)
	engine := NewEngine(config)
	engine.models["m"] = modelLoaded
	go engine.Run(t.Context())
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	server := httptest.NewServer(NewServer(engine, logger).Handler())
	t.Cleanup(server.Close)
	return engine, server
}

func sendChat(t *testing.T, server *httptest.Server, body, lastEvent string) (text string, err error) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL+"/v1/chat/completions", strings.NewReader(body))
	assert.NilError(t, err)
	request.Header.Set(requestIDHeader, "r1")
	if lastEvent != "" {
		request.Header.Set(lastEventHeader, lastEvent)
	}
	response, err := server.Client().Do(request)
	assert.NilError(t, err)
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return string(data), err
}

const streamBody = `{"model":"m","stream":true,"max_tokens":8,"messages":[{"role":"user","content":"hello ref:abc"}]}`

// Guards against a resumed stream that repeats or skips a token, which would invalidate all tests of resumed streams.
func TestResume(t *testing.T) {
	_, server := testServer(t, func(c *Config) { c.BreakStreamEvery = 1 })
	first, err := sendChat(t, server, streamBody, "")
	assert.Assert(t, err != nil, "the stream must be interrupted")
	assert.Assert(t, strings.Contains(first, "abc-4 ") && !strings.Contains(first, "abc-5 "))
	second, err := sendChat(t, server, streamBody, "5")
	assert.NilError(t, err)
	assert.Assert(t, !strings.Contains(second, "abc-4 "))
	for i := 5; i < 8; i++ {
		assert.Equal(t, strings.Count(second, fmt.Sprintf("abc-%d ", i)), 1)
	}
	assert.Assert(t, strings.HasSuffix(second, "data: [DONE]\n\n"))
}

// Guards against an engine that ignores priorities or its batch limit, which would invalidate measurements of
// priorities.
func TestAdmitByPriority(t *testing.T) {
	config := DefaultConfig()
	config.BatchLimit = 1
	engine := NewEngine(config)
	engine.models["m"] = modelLoaded
	for i, priority := range []int{5, 1, 3} {
		j := newJob(fmt.Sprint(i), chatRequest{Model: "m", Priority: priority, MaxTokens: 1})
		assert.Assert(t, engine.Submit(j) == nil)
	}
	var finished []string
	for engine.Step(time.Now()) {
		for id, j := range engine.jobs {
			if j.done {
				finished = append(finished, id)
				engine.cancel(j)
			}
		}
	}
	assert.DeepEqual(t, finished, []string{"1", "2", "0"})
}

// Guards against a prefix cache that exceeds its limit, and against a repeated prompt that misses the cache.
func TestPrefixCache(t *testing.T) {
	cache := newPrefixCache()
	prompt := strings.Fields(strings.Repeat("word ", 40))
	assert.Equal(t, len(cache.add(prefixBlocks(prompt))), 2)
	assert.Equal(t, cache.cachedBlocks(prefixBlocks(append(prompt, "more"))), 2)
	assert.Equal(t, len(cache.evictTo(blockTokens)), 1)
	assert.Equal(t, cache.tokens(), blockTokens)
}

// Guards against an order with an old fencing token being applied if tokens are checked, or rejected if they are not.
func TestFencingTokens(t *testing.T) {
	for _, enforced := range []bool{true, false} {
		_, server := testServer(t, func(c *Config) { c.CheckFencingTokens = enforced })
		oldTokenStatus := http.StatusOK
		if enforced {
			oldTokenStatus = http.StatusConflict
		}
		for _, order := range []struct{ number, want int }{{7, http.StatusOK}, {6, oldTokenStatus}, {7, http.StatusOK}} {
			body := fmt.Sprintf(`{"fencing-number":%d,"order-id":"o","model":"n","state":"loaded"}`, order.number)
			response, err := server.Client().Post(server.URL+"/v1/orders", "application/json", bytes.NewBufferString(body))
			assert.NilError(t, err)
			response.Body.Close()
			assert.Equal(t, response.StatusCode, order.want)
		}
	}
}

// Guards against an engine that accepts requests while draining, which would hide that requests are still sent to it.
func TestDrainingRejectsRequests(t *testing.T) {
	engine, server := testServer(t, func(c *Config) { c.MinDrainTime = 0 })
	engine.Drain()
	text, err := sendChat(t, server, streamBody, "")
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(text, "leaving"))
	response, err := server.Client().Get(server.URL + "/health")
	assert.NilError(t, err)
	response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
}
