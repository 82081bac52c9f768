package lessee

import (
	"fmt"
	"testing"
	"time"

	"sequoiaspread.example/sequoia/lessor"
)

// BenchmarkTake measures the admission of one request.
func BenchmarkTake(b *testing.B) {
	l, now := New(start), start
	l.SetLimits(now, map[string]Limit{"o": {Rate: 2_238_608, CountsTokens: true}})
	for b.Loop() {
		now = now.Add(time.Millisecond)
		l.Take(now, "o", 20)
	}
}

// BenchmarkReport measures a report and its reply at a VM with the largest report.
func BenchmarkReport(b *testing.B) {
	l, now, limits := New(start), start, map[string]Limit{}
	for i := range 2900 {
		limits[fmt.Sprintf("organisation-%04d", i)] = Limit{Rate: 2_238_608, CountsTokens: true}
	}
	l.SetLimits(now, limits)
	shares, sequence := make([]int64, lessor.MaxOrganisations), uint64(0)
	for b.Loop() {
		for i := range lessor.MaxOrganisations {
			l.Take(now, fmt.Sprintf("organisation-%04d", i), 20)
		}
		report := l.Report(now)
		sequence++
		l.Apply(now, now, report, lessor.Grant{Term: 1, Sequence: sequence, Fleet: 100, Shares: shares})
		now = now.Add(800 * time.Millisecond)
	}
}
