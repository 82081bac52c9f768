package conductor

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"sequoiaspread.example/sequoia/answerer"
	"sequoiaspread.example/sequoia/director"
	"sequoiaspread.example/sequoia/dispatcher"
	"sequoiaspread.example/sequoia/forwarder"
)

// slowBooking is longer than servers wait for their connections when they close.
const slowBooking = 3 * closeTimeout

// Guards against a request that comes in the last moment of a drain that ends early, is passed on to an upstream, and
// loses its answer because the process does not wait for it.
func TestRequestAtTheEndOfADrainIsNotCut(t *testing.T) {
	began := make(chan struct{})
	upstream := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(began)
		time.Sleep(slowBooking)
	}))
	defer upstream.Close()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	vm := answerer.New(answerer.Config{
		HeaderCodec: nopHeaderCodec{}, Logger: logger, Client: forwarder.New(forwarder.Config{}), Metrics: answerer.NewMetrics(prometheus.NewRegistry()),
	})
	vm.SetDocument(&director.Document{
		Version: 1, Services: []director.Service{{Name: "s"}}, Routes: []director.Route{{
			Name: "book", Host: "x.example", Prefix: "/", Class: director.ClassUnsafe, Timeout: 2 * time.Second,
			Objective: time.Second, Attempts: 1, Shares: []director.Share{{Service: "s", Weight: 1}},
		}},
	}, nil)
	vm.SetUpstreams([]dispatcher.Upstream{{
		ID: "u", Service: "s", Slots: 4, Address: netip.MustParseAddrPort(upstream.Listener.Addr().String()),
	}})
	callers := httptest.NewServer(vm.CallerHandler())
	c := &Conductor{config: Config{Answerer: vm, Logger: logger}}
	status := make(chan int, 1)
	go func() {
		request, err := http.NewRequest(http.MethodPost, callers.URL+"/1", nil)
		assert.Check(t, err)
		request.Host = "x.example"
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			status <- 0
			return
		}
		_ = response.Body.Close()
		status <- response.StatusCode
	}()
	<-began
	c.shutDown(time.Now().Add(2*time.Second), callers.Config)
	closeServers(callers.Config)
	assert.Equal(t, <-status, http.StatusOK)
}
