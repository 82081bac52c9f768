package main

import (
	"bufio"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gotest.tools/v3/assert"
)

// overheadTarget is the latency that the gateway may add to the first token at the 99th percentile.
const overheadTarget = time.Millisecond

// measureFirstToken returns the time to the first event of one stream in nanoseconds, and reads the rest of the stream.
func measureFirstToken(tb testing.TB, client *http.Client, url string) int64 {
	tb.Helper()
	request, err := http.NewRequest(http.MethodPost, url, strings.NewReader(streamedBody))
	assert.NilError(tb, err)
	request.Header.Set("Authorization", "Bearer demo-kiosks")
	start := time.Now()
	response, err := client.Do(request)
	assert.NilError(tb, err)
	defer func() { _ = response.Body.Close() }()
	reader := bufio.NewReader(response.Body)
	_, err = reader.ReadString('\n')
	elapsed := time.Since(start).Nanoseconds()
	assert.NilError(tb, err)
	for err == nil {
		_, err = reader.ReadString('\n')
	}
	return elapsed
}

// BenchmarkFirstToken compares streams through a gateway with streams directly from the fake engine, alternating within
// one run.
func BenchmarkFirstToken(b *testing.B) {
	f := newFleet(b, "", "a-1")
	f.addEngine("a", "engine-1", nil)
	f.start()
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	u, _ := f.firstGateway().upstreams.find("engine-1", 1)
	direct := hdrhistogram.New(1, int64(time.Minute), 3)
	through := hdrhistogram.New(1, int64(time.Minute), 3)
	for b.Loop() {
		assert.NilError(b, direct.RecordValue(measureFirstToken(b, client, "http://"+u.address.String()+chatPath)))
		assert.NilError(b, through.RecordValue(measureFirstToken(b, client, f.firstGateway().url(chatPath))))
	}
	for _, quantile := range []float64{50, 99} {
		added := time.Duration(through.ValueAtQuantile(quantile) - direct.ValueAtQuantile(quantile))
		b.ReportMetric(float64(added.Microseconds()), map[float64]string{50: "added-us-p50", 99: "added-us-p99"}[quantile])
	}
	b.ReportMetric(float64(through.ValueAtQuantile(99))/1e3, "gateway-us-p99")
	b.ReportMetric(float64(direct.ValueAtQuantile(99))/1e3, "direct-us-p99")
	b.ReportMetric(float64(overheadTarget.Microseconds()), "target-us")
}
