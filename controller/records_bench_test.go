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

// benchmarkAnswer is an answer of a booking service.
var benchmarkAnswer = recorder.Answer{Status: 201, ContentType: "application/json", Body: []byte(`{"booking":"b-000000000000","bay":"bay-07","start":"2026-03-01T12:00:00Z"}`)}

// BenchmarkRecords measures bookings (begin and finish) with both members of a view on this machine's disk: records/s,
// the time of the begin call and the size of the records file.
func BenchmarkRecords(b *testing.B) {
	for _, callers := range []int{1, 8, 64} {
		b.Run(fmt.Sprintf("callers-%d", callers), func(b *testing.B) { benchmarkRecords(b, callers) })
	}
}

func benchmarkRecords(b *testing.B, callers int) {
	folder := b.TempDir()
	agreement := newFakeAgreement("a#1", "b#1")
	var members []*runningMember
	for _, member := range []string{"a", "b"} {
		assert.NilError(b, createRecords(filepath.Join(folder, member), member+"#1"))
		members = append(members, startMember(b, agreement, member+"#1", filepath.Join(folder, member)))
	}
	c := newCaller(b, agreement)
	c.eventually("warm-up", recorder.OutcomeGranted)
	times := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	var lock sync.Mutex
	var next atomic.Int64
	var group sync.WaitGroup
	b.ResetTimer()
	for range callers {
		group.Go(func() {
			for n := next.Add(1); n <= int64(b.N); n = next.Add(1) {
				taken := book(b, c, n)
				lock.Lock()
				_ = times.RecordValue(taken.Microseconds())
				lock.Unlock()
			}
		})
	}
	group.Wait()
	b.StopTimer()
	for _, member := range members {
		assert.NilError(b, member.stop())
	}
	info, err := os.Stat(filepath.Join(folder, "a", recordsFile))
	assert.NilError(b, err)
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "records/s")
	b.ReportMetric(float64(times.ValueAtQuantile(50))/1000, "begin-p50-ms")
	b.ReportMetric(float64(times.ValueAtQuantile(99))/1000, "begin-p99-ms")
	b.ReportMetric(float64(info.Size())/float64(b.N), "file-bytes/record")
}

// book makes one booking and returns the time of its begin call.
func book(b *testing.B, c *caller, n int64) time.Duration {
	begin := recorder.Begin{
		Zone: recordsZone, Organisation: "kiosks-cairo", Key: fmt.Sprintf("0198f2d4-0000-7000-8000-%012d-x", n),
		Digest: "9bbfea42e081df781f3b0160ecdb4ae7127eaa50190a0788bb686a7ca3f7dc93", Service: "kiosk-core", Attempt: fmt.Sprintf("0198f2d4-1111-7000-8000-%012d", n),
	}
	start := time.Now()
	reply, err := c.client.Begin(context.Background(), c.primary(), begin)
	taken := time.Since(start)
	if err != nil || reply.Outcome != recorder.OutcomeGranted {
		b.Errorf("begin: %q %v", reply.Outcome, err)
		return taken
	}
	reply, err = c.client.Finish(context.Background(), c.primary(), reply.Permit.Finish(recorder.ResultAnswered, benchmarkAnswer))
	if err != nil || reply.Outcome != recorder.OutcomeDone {
		b.Errorf("finish: %q %v", reply.Outcome, err)
	}
	return taken
}
