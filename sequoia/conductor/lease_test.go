package conductor

import (
	"io"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"sequoiaspread.example/sequoia/answerer"
	"sequoiaspread.example/sequoia/director"
	"sequoiaspread.example/sequoia/forwarder"
	"sequoiaspread.example/sequoia/lessor"
)

// Guards against demand that is sent to coordinators which do not lead, or at all while no organisation has a limit, and
// against a lease that is not confirmed.
func TestDemandIsReportedToTheLeaderOnly(t *testing.T) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	vm := answerer.New(answerer.Config{
		HeaderCodec: nopHeaderCodec{}, Logger: logger, Client: forwarder.New(forwarder.Config{}), Metrics: answerer.NewMetrics(prometheus.NewRegistry()),
	})
	h := newHeartbeater(Config{Answerer: vm, Logger: logger}, nil, nil)
	leader, other := netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.1:2")
	h.applyLease(leader, time.Now(), nil, &lessor.Grant{Term: 2})
	h.applyLease(other, time.Now(), nil, nil)
	assert.Assert(t, h.heartbeat(leader).Demand == nil, "no limit")
	vm.SetDocument(&director.Document{Organisations: []director.Organisation{{Name: "o", Limit: director.RateLimit{Rate: 10}}}}, nil)
	report := &lessor.Report{Organisations: []string{"o"}, Demands: []int64{1}}
	h.applyLease(leader, time.Now(), report, &lessor.Grant{Term: 2, Sequence: 9, Shares: []int64{5}})
	assert.Assert(t, slices.Equal(h.leaders(), []netip.AddrPort{leader}))
	assert.DeepEqual(t, h.heartbeat(leader).Demand, &lessor.Report{Term: 2, Sequence: 9})
	assert.Assert(t, h.heartbeat(other).Demand == nil)
}
