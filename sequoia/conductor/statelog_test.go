package conductor

import (
	"net/netip"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"gotest.tools/v3/assert"

	"sequoiaspread.example/sequoia/answerer"
	"sequoiaspread.example/sequoia/director"
	"sequoiaspread.example/sequoia/fleetserver"
)

// Guards against a VM that applied or refused an unexpected state without a line that names both states, the coordinator
// and the reason, and against a line for each heartbeat.
func TestEachConsideredStateIsLoggedOnce(t *testing.T) {
	logger, hook := logtest.NewNullLogger()
	testAnswerer := answerer.New(answerer.Config{
		Self: fleetserver.EntryVM{Name: "a", Zone: "z", Region: "r"}, HeaderCodec: nopHeaderCodec{}, Logger: logger,
		Metrics: answerer.NewMetrics(prometheus.NewRegistry()),
	})
	h := newHeartbeater(Config{
		Answerer: testAnswerer, Logger: logger,
		DecodeDocument: func([]byte) (*director.Document, error) { return &director.Document{}, nil },
	}, nil, nil)
	first, second := netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.1:2")
	for _, step := range []struct {
		from      netip.AddrPort
		state     fleetserver.State
		confirmed bool
		message   string
		reason    string
	}{
		{from: first, state: fleetserver.State{Revision: 5, Version: 9}, message: "state is in force", reason: "first"},
		{from: second, state: fleetserver.State{Revision: 6, Version: 10}, message: "state not applied", reason: "replayed-after-first"},
		{from: second, state: fleetserver.State{Revision: 6, Version: 10}},
		{from: first, state: fleetserver.State{Revision: 3, Version: 8}, confirmed: true, message: "state not applied", reason: "lower-version-than-replayed"},
		{from: first, state: fleetserver.State{Revision: 3, Version: 8}, confirmed: true},
		{from: second, state: fleetserver.State{Revision: 3, Version: 8}, confirmed: true, message: "state not applied", reason: "lower-version-than-replayed"},
		{from: first, state: fleetserver.State{Revision: 4, Version: 9}, confirmed: true, message: "state is in force", reason: "confirmed-with-lower-revision"},
		{from: second, state: fleetserver.State{Revision: 4, Version: 9}, confirmed: true},
		{from: second, state: fleetserver.State{Revision: 1}, confirmed: true, message: "state not applied", reason: "no-document"},
		{from: second, state: fleetserver.State{Revision: 3, Version: 8}, confirmed: true, message: "state not applied", reason: "not-newer"},
		{from: second, state: fleetserver.State{Revision: 7, Version: 9}, confirmed: true, message: "state is in force", reason: "newer-revision"},
	} {
		hook.Reset()
		before := h.appliedMark()
		h.apply(step.state, source{coordinator: step.from, revision: step.state.Revision, confirmed: step.confirmed}, time.Now())
		if step.message == "" {
			assert.Equal(t, len(hook.AllEntries()), 0)
			continue
		}
		assert.Equal(t, len(hook.AllEntries()), 1)
		entry := hook.LastEntry()
		assert.Equal(t, entry.Message, step.message)
		for _, figure := range []string{"evacuated", "bytes", "fetch-ms"} {
			_, ok := entry.Data[figure]
			assert.Equal(t, ok, step.message == "state is in force", figure)
			delete(entry.Data, figure)
		}
		assert.DeepEqual(t, entry.Data, logrus.Fields{
			"coordinator": step.from.String(), "reason": step.reason,
			"revision": step.state.Revision, "version": step.state.Version, "confirmed": step.confirmed,
			"previous-revision": before.revision, "previous-version": before.version, "previous-confirmed": before.confirmed,
		})
	}
}
