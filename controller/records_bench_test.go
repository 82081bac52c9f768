package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gotest.tools/v3/assert"

	"sequoiaspread.example/sequoia/recorder"
)

// benchmarkResponse is a typical response of a booking service.
var benchmarkResponse = recorder.Response{Status: 201, ContentType: "application/json", Body: []byte(`{"booking":"b-000000000000","bay":"bay-07","start":"2026-03-01T12:00:00Z"}`)}

// BenchmarkRecords measures bookings (begin and finish) in a cluster of six controllers on the local disk: records per
// second, the latency of the begin call and the size of the records file.
func BenchmarkRecords(b *testing.B) {
	for _, callers := range []int{1, 8, 64} {
		b.Run(fmt.Sprintf("callers-%d", callers), func(b *testing.B) { benchmarkRecords(b, callers) })
	}
}

func benchmarkRecords(b *testing.B, callers int) {
	c := newRecordCluster(b)
	c.book("warm-up")
	times := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	var lock sync.Mutex
	var next atomic.Int64
	var group sync.WaitGroup
	b.ResetTimer()
	for range callers {
		group.Go(func() {
			for n := next.Add(1); n <= int64(b.N); n = next.Add(1) {
				elapsed := c.bookOnce(b, n)
				lock.Lock()
				_ = times.RecordValue(elapsed.Microseconds())
				lock.Unlock()
			}
		})
	}
	group.Wait()
	b.StopTimer()
	info, err := os.Stat(filepath.Join(c.settings["cairo-a-1"].DataFolder, recordsFile))
	assert.NilError(b, err)
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "records/s")
	b.ReportMetric(float64(times.ValueAtQuantile(50))/1000, "begin-p50-ms")
	b.ReportMetric(float64(times.ValueAtQuantile(99))/1000, "begin-p99-ms")
	b.ReportMetric(float64(info.Size())/float64(b.N), "file-bytes/record")
}

// bookOnce makes one booking and returns the latency of its begin call.
func (c *recordCluster) bookOnce(b *testing.B, n int64) time.Duration {
	begin := newBegin(fmt.Sprintf("0198f2d4-0000-7000-8000-%012d-x", n))
	begin.Digest = "9bbfea42e081df781f3b0160ecdb4ae7127eaa50190a0788bb686a7ca3f7dc93"
	start := time.Now()
	reply, err := c.client.Begin(context.Background(), c.primary(), begin)
	elapsed := time.Since(start)
	if err != nil || reply.Outcome != recorder.OutcomeGranted {
		b.Errorf("begin: %q %v", reply.Outcome, err)
		return elapsed
	}
	reply, err = c.client.Finish(context.Background(), c.primary(), reply.Permit.Finish(recorder.ResultAnswered, benchmarkResponse))
	if err != nil || reply.Outcome != recorder.OutcomeDone {
		b.Errorf("finish: %q %v", reply.Outcome, err)
	}
	return elapsed
}
