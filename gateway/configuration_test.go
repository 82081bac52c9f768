package main

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// testConfiguration guards against a version that is lost or reverted, and against a document that stops the gateway.
func testConfiguration(t *testing.T) {
	f := newFleet(t, "", "a-1", "a-2")
	f.addEngine("a", "engine-1", nil)
	f.start()
	version := func(vm string) uint64 { return f.gateways[vm].environment.Load().version }
	f.applyDocument(func(text string) string { return text })
	t.Run("poll/late-older-answer", func(t *testing.T) {
		f.firstGateway().config.apply("controller", 1, []byte(f.documentText))
		assert.Equal(t, version("a-1"), uint64(2))
	})
	t.Run("poll/broken-document", func(t *testing.T) {
		f.setDocument(9, "[broken", "")
		f.waitForPolls()
		assert.Equal(t, version("a-1"), uint64(2))
		assert.Equal(t, f.chat(f.firstGateway()).StatusCode, http.StatusOK)
	})
	t.Run("heartbeat/controllers-known-to-one-gateway", func(t *testing.T) {
		f.setDocument(3, f.lastValidText, "a-1")
		f.waitFor("both gateways have the version", func() bool { return version("a-1") == 3 && version("a-2") == 3 })
	})
}

// setDocument sets the document that the controller returns, to one gateway or to all of them.
func (f *fleet) setDocument(version uint64, text, only string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if text != "[broken" {
		f.lastValidText = text
	}
	if f.lastValidText == "" {
		f.lastValidText = f.documentText
	}
	f.version, f.documentText, f.documentReceiver, f.polls = version, text, only, 0
}

// waitForPolls waits for more than two polls per gateway, on average, since the last change, so that the first response
// was processed.
func (f *fleet) waitForPolls() {
	f.waitFor("gateways polled", func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.polls > 2*len(f.gateways)
	})
}

// testPartition guards against a partitioned zone that stops serving or refers callers to unreachable zones.
func testPartition(t *testing.T) {
	f := newFleet(t, "", "a-1", "b-1")
	f.addEngine("a", "engine-a", nil)
	f.addEngine("b", "engine-b", nil)
	f.start()
	peer := f.gateways["b-1"]
	start := time.Now()
	assert.NilError(t, peer.pool.Client(f.firstGateway().settings.RPCAddress).Close())
	assert.NilError(t, f.firstGateway().pool.Client(peer.settings.RPCAddress).Close())
	t.Run("directory/other-zone-silent", func(t *testing.T) {
		f.waitFor("other zone is not listed", func() bool {
			return !strings.Contains(readAll(t, f.send("GET", f.firstGateway().url("/v1/directory?zone=b"), "")), `"b-1"`)
		})
		assert.Assert(t, time.Since(start) < memberTimeout+2*heartbeatInterval)
	})
	t.Run("serve/other-zone-silent", func(t *testing.T) {
		assert.Equal(t, f.chat(f.firstGateway()).StatusCode, http.StatusOK)
		assert.Equal(t, f.book(f.firstGateway(), "k").StatusCode, http.StatusServiceUnavailable)
	})
}
