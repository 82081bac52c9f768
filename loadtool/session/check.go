package session

import (
	"fmt"
	"slices"

	"sequoiaspread.example/loadtool/harness"
)

// Check is one statement about a session and whether it held.
type Check struct {
	Name   string
	Held   bool
	Detail string
}

// Bookings counts keys by what happened to them.
type Bookings struct {
	Keys         int
	Acknowledged int
	Executed     int
	Twice        int
	// Missing were acknowledged and not executed, FalseNotRun were called not run and were executed.
	Missing     int
	FalseNotRun int
	Unknown     int
	Late        int
	Misplaced   int
}

// Count compares what the callers know of each key with the executions at the plain services.
func (r *Result) Count(executions []harness.Execution) Bookings {
	r.mu.Lock()
	defer r.mu.Unlock()
	times := map[string]int{}
	counts := Bookings{Keys: len(r.keys)}
	for _, each := range executions {
		if each.Late {
			counts.Late++
		}
		if each.Key == "" {
			continue
		}
		times[each.Key]++
		if !slices.Contains(r.allowed[each.Key], r.zoneOf(each.VM)) {
			counts.Misplaced++
		}
	}
	counts.Executed = len(times)
	for key, number := range times {
		if number > 1 {
			counts.Twice++
			r.fail(fmt.Sprintf("booking %s was executed %d times", key, number))
		}
	}
	r.countStates(&counts, times)
	return counts
}

func (r *Result) countStates(counts *Bookings, times map[string]int) {
	for key, state := range r.keys {
		switch state {
		case keyAcknowledged:
			counts.Acknowledged++
			if times[key] == 0 {
				counts.Missing++
				r.fail("booking " + key + " was acknowledged and never executed")
			}
		case keyNotRun:
			if times[key] > 0 {
				counts.FalseNotRun++
				r.fail("booking " + key + " was called not run and was executed")
			}
		case keyUnknown:
			counts.Unknown++
		}
	}
}

// Checks returns the statements that must hold for every session.
func (r *Result) Checks(counts Bookings) []Check {
	requests, answered, failed := 0, 0, 0
	for _, row := range r.Rows() {
		requests += row.Requests
		answered += row.Answered
		failed += row.Failed
	}
	return []Check{
		{Name: "every answer whole and its own", Held: failed == 0, Detail: fmt.Sprintf("%d of %d answered, %d failed", answered, requests, failed)},
		{Name: "no booking executed twice", Held: counts.Twice == 0, Detail: fmt.Sprintf("%d of %d keys executed twice", counts.Twice, counts.Keys)},
		{Name: "each acknowledged booking executed", Held: counts.Missing == 0, Detail: fmt.Sprintf("%d acknowledged, %d missing", counts.Acknowledged, counts.Missing)},
		{Name: "nothing called not run was executed", Held: counts.FalseNotRun == 0, Detail: fmt.Sprintf("%d executed", counts.FalseNotRun)},
		{Name: "bookings executed only where residency allows", Held: counts.Misplaced == 0, Detail: fmt.Sprintf("%d elsewhere", counts.Misplaced)},
		{Name: "no late work on a leaving service", Held: counts.Late == 0, Detail: fmt.Sprintf("%d late", counts.Late)},
	}
}
