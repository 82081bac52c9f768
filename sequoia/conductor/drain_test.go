package conductor

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"sequoiaspread.example/sequoia/answerer"
	"sequoiaspread.example/sequoia/director"
	"sequoiaspread.example/sequoia/dispatcher"
	"sequoiaspread.example/sequoia/fleetserver"
	"sequoiaspread.example/sequoia/forwarder"
)

// nopHeaderCodec neither reads nor writes headers.
type nopHeaderCodec struct{}

// ParseRequest returns an empty description.
func (nopHeaderCodec) ParseRequest(http.Header) answerer.RequestInfo { return answerer.RequestInfo{} }

// PrepareRequest does nothing.
func (nopHeaderCodec) PrepareRequest(http.Header, answerer.SendOptions) {}

// ParseKey finds no key.
func (nopHeaderCodec) ParseKey(http.Header) string { return "" }

// SetChallenge writes nothing.
func (nopHeaderCodec) SetChallenge(http.Header) {}

// MatchesID accepts every response.
func (nopHeaderCodec) MatchesID(http.Header, string) bool { return true }

// ParseResponse treats every response as coming from the upstream.
func (nopHeaderCodec) ParseResponse(int, http.Header) answerer.ResponseInfo {
	return answerer.ResponseInfo{FromUpstream: true}
}

// SetRetryAfter does nothing.
func (nopHeaderCodec) SetRetryAfter(http.Header, time.Duration) {}

// emptySource lists no upstreams.
type emptySource struct{}

// List returns nothing.
func (emptySource) List(context.Context) ([]dispatcher.Upstream, int, error) { return nil, 1, nil }

// FetchLoad is never called.
func (emptySource) FetchLoad(context.Context, dispatcher.Upstream) (dispatcher.Load, error) {
	return dispatcher.Load{}, nil
}

func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	return netip.MustParseAddrPort(listener.Addr().String())
}

// Guards against a drain that refuses callers that still use the address, or that exceeds its grace period. In one
// such failure, a connection opened three seconds after SIGTERM was closed without a response.
func TestDrainServesLateCallers(t *testing.T) {
	const gracePeriod = 6 * time.Second
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	client := forwarder.New(forwarder.Config{})
	self := fleetserver.EntryVM{Name: "a", Zone: "z", Region: "r", CallerAddress: freeAddress(t), PeerAddress: freeAddress(t), GossipAddress: freeAddress(t)}
	testAnswerer := answerer.New(answerer.Config{
		Self: self, HeaderCodec: nopHeaderCodec{}, Logger: logger, Client: client, Metrics: answerer.NewMetrics(prometheus.NewRegistry()),
	})
	testAnswerer.SetDocument(&director.Document{Version: 1}, nil)
	c := New(Config{
		Self: self, ReadinessAddress: freeAddress(t), MetricsAddress: freeAddress(t), ReadinessHandler: http.NotFoundHandler(), MetricsHandler: http.NotFoundHandler(),
		Coordinators: func() []netip.AddrPort { return nil }, Answerer: testAnswerer, Client: client, Source: emptySource{},
		GracePeriod: gracePeriod, Logger: logger,
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- c.Run(ctx) }()
	sendRequest := func() (*http.Response, error) {
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
		response, err := client.Post("http://"+self.CallerAddress.String()+"/x", "text/plain", strings.NewReader("body"))
		if err == nil {
			_ = response.Body.Close()
		}
		return response, err
	}
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		if _, err := sendRequest(); err == nil {
			break
		}
		assert.Assert(t, time.Now().Before(deadline))
	}
	cancel()
	drainStart := time.Now()
	for time.Since(drainStart) < propagationTime+idleTime/2 {
		response, err := sendRequest()
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusNotFound)
		assert.Assert(t, response.Close, "the response does not tell the caller to close its connection")
		time.Sleep(100 * time.Millisecond)
	}
	assert.NilError(t, <-done)
	assert.Assert(t, time.Since(drainStart) < gracePeriod)
}
