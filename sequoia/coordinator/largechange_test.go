package coordinator

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiaspread.example/sequoia/registrar"
)

const (
	// controlBytesPerSecond and changesPerDay are the size to design for in DEVELOPERS.md.
	controlBytesPerSecond = 5_000
	changesPerDay         = 950
	secondsPerDay         = 24 * 60 * 60
	// changeBytes is what a VM may receive for one change.
	changeBytes = controlBytesPerSecond * secondsPerDay / changesPerDay
)

// largeDocument returns a document in the operators' format.
func largeDocument(t *testing.T, routes int) []byte {
	t.Helper()
	random := rand.New(rand.NewPCG(1, 1))
	type route struct {
		Name     string   `json:"name"`
		Host     string   `json:"host"`
		Prefix   string   `json:"path_prefix"`
		Kind     string   `json:"kind"`
		Timeout  float64  `json:"timeout_ms"`
		Target   float64  `json:"target_latency_ms"`
		Priority int      `json:"priority"`
		Service  string   `json:"service"`
		Attempts int      `json:"max_attempts"`
		Sticky   bool     `json:"sticky"`
		Resume   bool     `json:"resumable"`
		Gap      float64  `json:"target_gap_ms"`
		Homes    []string `json:"home_regions"`
	}
	var document struct {
		Version uint64  `json:"version"`
		Routes  []route `json:"routes"`
	}
	for range routes {
		id := random.Uint64()
		document.Routes = append(document.Routes, route{
			Name: fmt.Sprintf("r-%x", uint32(id)), Host: "routes.example", Prefix: fmt.Sprintf("/%x/", id>>32), Kind: "streaming",
			Timeout: 12000, Target: 500, Priority: 2, Service: "engine-service", Attempts: 2, Sticky: true, Gap: 400,
			Homes: []string{"north", "south"},
		})
	}
	text, err := json.Marshal(document)
	assert.NilError(t, err)
	return text
}

func startGroup(t *testing.T, size int) []runningCoordinator {
	t.Helper()
	var seeds []netip.AddrPort
	for range size {
		seeds = append(seeds, freeAddress(t))
	}
	var group []runningCoordinator
	for _, seed := range seeds {
		group = append(group, startCoordinator(t, seed, seeds, t.TempDir(), true))
	}
	t.Cleanup(func() {
		for _, c := range group {
			c.stop()
		}
	})
	return group
}

// Guards against a change of a large document that fills the links of the entry VMs, because the state carries the
// document as text.
func TestLargeChangeExceededTheControlTraffic(t *testing.T) {
	group := startGroup(t, 1)
	waitFor(t, "an acknowledged document", func() bool {
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		return group[0].Put(ctx, 5, largeDocument(t, 2800)) == nil
	})
	waitFor(t, "the state of a confirmed member", func() bool { return group[0].AppliedState().Version == 5 })
	reply, err := json.Marshal(group[0].AppliedState())
	assert.NilError(t, err)
	t.Logf("%d bytes of %d", len(reply), len(largeDocument(t, 2800)))
	assert.Assert(t, len(reply) <= changeBytes, "%d bytes, allowed are %d", len(reply), changeBytes)
	read, err := group[0].Read(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, string(read.Text), string(largeDocument(t, 2800)))
}

// Guards against coordinators that fall behind because each repetition of a change is one more entry of the log.
func TestResentChangeWasLoggedAgain(t *testing.T) {
	const repetitions = 8
	group := startGroup(t, 3)
	putDocument(t, group[0], 5)
	before := lastIndex(t, group)
	var calls sync.WaitGroup
	for _, c := range group {
		for range repetitions {
			calls.Go(func() {
				ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
				defer cancel()
				assert.Check(t, c.Put(ctx, 6, []byte("six")))
			})
		}
	}
	calls.Wait()
	putDocument(t, group[1], 6)
	assert.Equal(t, lastIndex(t, group)-before, uint64(1), "entries of one change")
	state, err := group[2].Read(t.Context())
	assert.NilError(t, err)
	assert.DeepEqual(t, state, registrar.State{Revision: 2, Version: 6, Text: []byte("six")})
}

// lastIndex returns the highest log index of a group.
func lastIndex(t *testing.T, group []runningCoordinator) uint64 {
	t.Helper()
	var highest uint64
	for _, c := range group {
		status, ok := c.Status()
		assert.Assert(t, ok)
		highest = max(highest, status.LastIndex)
	}
	return highest
}
