package main

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// proveConfiguration guards against a version that is lost, reverts, or takes the gateway down.
func proveConfiguration(t *testing.T) {
	f := newFleet(t, "", "a-1", "a-2")
	f.engine("a", "engine-1", nil)
	f.start()
	version := func(vm string) uint64 { return f.gateways[vm].environment.Load().version }
	f.promote(func(text string) string { return text })
	t.Run("poll/late-older-answer", func(t *testing.T) {
		f.first().config.offer("controller", 1, []byte(f.text))
		assert.Equal(t, version("a-1"), uint64(2))
	})
	t.Run("poll/broken-document", func(t *testing.T) {
		f.offer(9, "[broken", "")
		f.untilPolled()
		assert.Equal(t, version("a-1"), uint64(2))
		assert.Equal(t, f.chat(f.first()).StatusCode, http.StatusOK)
	})
	t.Run("heartbeat/controllers-known-to-one-gateway", func(t *testing.T) {
		f.offer(3, f.valid, "a-1")
		f.until("both gateways have the version", func() bool { return version("a-1") == 3 && version("a-2") == 3 })
	})
}

// offer sets what the controller answers: to one gateway, or to all of them.
func (f *fleet) offer(version uint64, text, only string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if text != "[broken" {
		f.valid = text
	}
	if f.valid == "" {
		f.valid = f.text
	}
	f.version, f.text, f.only, f.polls = version, text, only, 0
}

// untilPolled waits until each gateway has polled twice since the last offer, so that the first answer was taken.
func (f *fleet) untilPolled() {
	f.until("gateways polled", func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.polls > 2*len(f.gateways)
	})
}

// proveCutOff guards against a zone that stops serving, or sends callers away, when the others are silent.
func proveCutOff(t *testing.T) {
	f := newFleet(t, "", "a-1", "b-1")
	f.engine("a", "engine-a", nil)
	f.engine("b", "engine-b", nil)
	f.start()
	gone := f.gateways["b-1"]
	start := time.Now()
	assert.NilError(t, gone.pool.Close())
	assert.NilError(t, f.first().pool.Client(gone.settings.RPCAddress).Close())
	t.Run("directory/other-zone-silent", func(t *testing.T) {
		f.until("other zone is not listed", func() bool {
			return !strings.Contains(readAll(t, f.send("GET", f.first().url("/v1/directory?zone=b"), "")), `"b-1"`)
		})
		assert.Assert(t, time.Since(start) < memberTimeout+2*heartbeatInterval)
	})
	t.Run("serve/other-zone-silent", func(t *testing.T) {
		assert.Equal(t, f.chat(f.first()).StatusCode, http.StatusOK)
		assert.Equal(t, f.book(f.first(), "k").StatusCode, http.StatusServiceUnavailable)
	})
}
