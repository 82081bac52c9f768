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

// silentTranslator reads and writes nothing.
type silentTranslator struct{}

// Describe returns nothing.
func (silentTranslator) ParseRequest(http.Header) answerer.RequestInfo { return answerer.RequestInfo{} }

// Prepare writes nothing.
func (silentTranslator) PrepareRequest(http.Header, answerer.SendOptions) {}

// Belongs takes every response.
func (silentTranslator) MatchesID(http.Header, string) bool { return true }

// Judge takes every response as genuine.
func (silentTranslator) ParseResponse(int, http.Header) answerer.ResponseInfo {
	return answerer.ResponseInfo{FromUpstream: true}
}

// Refuse writes nothing.
func (silentTranslator) SetRetryAfter(http.Header, time.Duration) {}

// emptySource lists no upstreams.
type emptySource struct{}

// List returns nothing.
func (emptySource) List(context.Context) ([]dispatcher.Upstream, int, error) { return nil, 1, nil }

// Report is never called.
func (emptySource) FetchLoad(context.Context, dispatcher.Upstream) (dispatcher.Load, error) {
	return dispatcher.Load{}, nil
}

func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = socket.Close() }()
	return netip.MustParseAddrPort(socket.Addr().String())
}

// Guards against a planned stop that turns callers away who still have the address, or that outlasts its grace period:
// a caller that opened a connection three seconds after SIGTERM was closed without an answer.
func TestStopAnswersLateCallers(t *testing.T) {
	const grace = 6 * time.Second
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	client := forwarder.New(forwarder.Config{})
	self := fleetserver.EntryVM{Name: "a", Zone: "z", Region: "r", CallerAddress: freeAddress(t), PeerAddress: freeAddress(t), GossipAddress: freeAddress(t)}
	answers := answerer.New(answerer.Config{
		Self: self, HeaderCodec: silentTranslator{}, Logger: logger, Client: client, Metrics: answerer.NewMetrics(prometheus.NewRegistry()),
	})
	answers.SetDocument(&director.Document{Version: 1}, nil)
	c := New(Config{
		Self: self, ReadinessAddress: freeAddress(t), MetricsAddress: freeAddress(t), ReadinessHandler: http.NotFoundHandler(), MetricsHandler: http.NotFoundHandler(),
		Coordinators: func() []netip.AddrPort { return nil }, Answerer: answers, Client: client, Source: emptySource{},
		GracePeriod: grace, Logger: logger,
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- c.Run(ctx) }()
	ask := func() (*http.Response, error) {
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
		response, err := client.Post("http://"+self.CallerAddress.String()+"/x", "text/plain", strings.NewReader("body"))
		if err == nil {
			_ = response.Body.Close()
		}
		return response, err
	}
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		if _, err := ask(); err == nil {
			break
		}
		assert.Assert(t, time.Now().Before(deadline))
	}
	cancel()
	began := time.Now()
	for time.Since(began) < noticeTime+quietTime/2 {
		response, err := ask()
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusNotFound)
		assert.Assert(t, response.Close, "the caller is not told to close its connection")
		time.Sleep(100 * time.Millisecond)
	}
	assert.NilError(t, <-done)
	assert.Assert(t, time.Since(began) < grace)
}
