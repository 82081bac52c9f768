package lessor

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"
)

// BenchmarkGrant measures the leader's computation and the encoding for one report by the number of VMs, each with the
// largest report, and states the bytes of a report and of its grant.
func BenchmarkGrant(b *testing.B) {
	for _, vms := range []int{100, 360, 1000} {
		for _, organisations := range []int{16, MaxOrganisations} {
			b.Run(fmt.Sprintf("%d-vms-%d-organisations", vms, organisations), func(b *testing.B) { benchmarkGrant(b, vms, organisations) })
		}
	}
}

func benchmarkGrant(b *testing.B, vms, organisations int) {
	l, now := New(), time.Now()
	l.Lead(now, 3)
	now = now.Add(ElectionWait)
	reports, bytes := make([][]byte, vms), 0
	grants := make([]Grant, vms)
	for i := range b.N {
		vm := i % vms
		now = now.Add(800 * time.Millisecond / time.Duration(vms))
		report := Report{Term: grants[vm].Term, Sequence: grants[vm].Sequence}
		for k := range organisations {
			report.Organisations = append(report.Organisations, fmt.Sprintf("organisation-%04d", (vm*7+k)%2900))
			report.Demands = append(report.Demands, int64(20000+(i*31+k)%9200))
		}
		reports[vm], _ = json.Marshal(report)
		var received Report
		if json.Unmarshal(reports[vm], &received) != nil {
			b.Fatal("the report cannot be decoded")
		}
		grants[vm] = l.Grant(now, fmt.Sprintf("entry-%d", vm), &received, func(string) float64 { return 2_238_608 })
		reply, _ := json.Marshal(grants[vm])
		bytes += len(reports[vm]) + len(reply)
	}
	b.ReportMetric(float64(bytes)/float64(b.N), "bytes/op")
}
