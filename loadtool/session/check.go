package session

import (
	"fmt"
	"slices"

	"sequoiaspread.example/loadtool/harness"
)

// Check is the result of one check of a session.
type Check struct {
	Name   string
	Passed bool
	Detail string
}

// BookingCounts counts booking keys by outcome.
type BookingCounts struct {
	Keys         int
	Acknowledged int
	Executed     int
	Duplicated   int
	// Missing counts keys that were acknowledged and not executed, FalseNotRun those that were reported as not run and
	// were executed.
	Missing             int
	FalseNotRun         int
	Unknown             int
	Late                int
	ResidencyViolations int
}

// CountBookings compares the outcome of each key at the callers with the executions at the plain services.
func (r *Result) CountBookings(executions []harness.Execution) BookingCounts {
	r.mu.Lock()
	defer r.mu.Unlock()
	executionCounts := map[string]int{}
	counts := BookingCounts{Keys: len(r.keyStates)}
	for _, execution := range executions {
		if execution.Late {
			counts.Late++
		}
		if execution.Key == "" {
			continue
		}
		executionCounts[execution.Key]++
		if !slices.Contains(r.allowedZones[execution.Key], r.zoneOf(execution.VM)) {
			counts.ResidencyViolations++
		}
	}
	counts.Executed = len(executionCounts)
	for key, count := range executionCounts {
		if count > 1 {
			counts.Duplicated++
			r.addFailure(fmt.Sprintf("booking %s was executed %d times", key, count))
		}
	}
	r.countKeyStates(&counts, executionCounts)
	return counts
}

func (r *Result) countKeyStates(counts *BookingCounts, executionCounts map[string]int) {
	for key, state := range r.keyStates {
		switch state {
		case keyAcknowledged:
			counts.Acknowledged++
			if executionCounts[key] == 0 {
				counts.Missing++
				r.addFailure("booking " + key + " was acknowledged and never executed")
			}
		case keyNotRun:
			if executionCounts[key] > 0 {
				counts.FalseNotRun++
				r.addFailure("booking " + key + " was called not run and was executed")
			}
		case keyUnknown:
			counts.Unknown++
		}
	}
}

// Checks returns the checks that every session must pass.
func (r *Result) Checks(counts BookingCounts) []Check {
	requests, answered, failed := 0, 0, 0
	for _, row := range r.Rows() {
		requests += row.Requests
		answered += row.Answered
		failed += row.Failed
	}
	return []Check{
		{Name: "every answer whole and its own", Passed: failed == 0, Detail: fmt.Sprintf("%d of %d answered, %d failed", answered, requests, failed)},
		{Name: "no booking executed twice", Passed: counts.Duplicated == 0, Detail: fmt.Sprintf("%d of %d keys executed twice", counts.Duplicated, counts.Keys)},
		{Name: "each acknowledged booking executed", Passed: counts.Missing == 0, Detail: fmt.Sprintf("%d acknowledged, %d missing", counts.Acknowledged, counts.Missing)},
		{Name: "nothing called not run was executed", Passed: counts.FalseNotRun == 0, Detail: fmt.Sprintf("%d executed", counts.FalseNotRun)},
		{Name: "bookings executed only where residency allows", Passed: counts.ResidencyViolations == 0, Detail: fmt.Sprintf("%d elsewhere", counts.ResidencyViolations)},
		{Name: "no late work on a leaving service", Passed: counts.Late == 0, Detail: fmt.Sprintf("%d late", counts.Late)},
	}
}
