package reportserver

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"sequoiaspread.example/sequoia/messenger"
	"sequoiaspread.example/sequoia/reporter"
)

type memorySink struct{ reports []Report }

func (s *memorySink) Append(_ time.Time, report Report) error {
	s.reports = append(s.reports, report)
	return nil
}

// Guards against a report that is lost because one of two controllers is down.
func TestAppendNeedsOneController(t *testing.T) {
	sink := &memorySink{}
	handle := AppendHandler(sink)
	handler := messenger.HandlerFunc(func(ctx context.Context, _ string, params json.RawMessage) (any, error) { return handle(ctx, params) })
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		done <- messenger.NewServer(messenger.ServerConfig{Handler: handler, Logger: logrus.New()}).Serve(ctx, listener)
	}()
	pool := messenger.NewPool(messenger.PoolConfig{Logger: logrus.New()})
	refused := netip.MustParseAddrPort("127.0.0.1:1")
	report := Report{VM: "a-1", Zone: "a", Buckets: []reporter.Bucket{{VM: "a-1", Start: time.Now().Add(-time.Minute)}}, Demands: []Demand{{Model: "m", Rate: 3}}}
	client := NewClient(pool, []netip.AddrPort{refused, netip.MustParseAddrPort(listener.Addr().String())})
	assert.NilError(t, client.Append(ctx, report))
	assert.Equal(t, len(sink.reports), 1)
	var failure *Error
	assert.Assert(t, errors.As(NewClient(pool, []netip.AddrPort{refused}).Append(ctx, report), &failure))
	report.Buckets[0].VM = "other"
	assert.Assert(t, client.Append(ctx, report) != nil)
	assert.NilError(t, pool.Close())
	cancel()
	assert.NilError(t, <-done)
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"vm":"a","buckets":[{"vm":"a","start":"2026-01-01T00:00:00Z","good":1}],"demands":[{"model":"m","tokens-per-second":1e300}]}`))
	f.Fuzz(func(t *testing.T, params []byte) {
		report, err := decodeReport(time.Unix(0, 0), params)
		if err == nil {
			assert.Assert(t, len(report.Buckets) <= maxBuckets)
		}
	})
}
