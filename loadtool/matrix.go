package main

import (
	"slices"
	"strings"
)

// Faults that the matrix has a column for.
var (
	processFaults = []string{"kill", "restart", "hang-and-resume", "two-at-once", "fault-during-recovery", "clock-step"}
	diskFaults    = []string{"disk-lost", "disk-full", "torn-record", "failed-fsync"}
	linkFaults    = []string{"cut", "one-way-cut", "slow-link", "duplicate", "reorder", "late-message", "silent-connection"}
)

// faultColumns are all faults, in the order of the printed matrix.
var faultColumns = slices.Concat(processFaults, diskFaults, linkFaults)

// step is one step of a property: the point of the work at which a fault strikes.
type step struct {
	name string
	// disk says that the step reads or writes a data folder, so that storage faults can strike it.
	disk bool
}

// property is one promise of the system and the steps at which faults can break it.
type property struct {
	name  string
	steps []step
}

// matrix is the full table of what has to be proved: each fault at each step of each property.
var matrix = []property{
	{name: "at-most-once", steps: []step{
		{name: "begin", disk: true}, {name: "copy", disk: true}, {name: "ack", disk: true}, {name: "reply", disk: true}, {name: "send", disk: true},
		{name: "answer", disk: true}, {name: "finish", disk: true}, {name: "done", disk: true}, {name: "resend", disk: true},
		{name: "repair", disk: true}, {name: "session", disk: true},
	}},
	{name: "not-run", steps: []step{
		{name: "before-send"}, {name: "after-send"}, {name: "release", disk: true},
	}},
	{name: "whole-answer", steps: []step{
		{name: "start"}, {name: "first-chunk"}, {name: "mid-stream"}, {name: "between-attempts"}, {name: "end"},
	}},
	{name: "configuration", steps: []step{
		{name: "promote", disk: true}, {name: "agreement", disk: true}, {name: "membership", disk: true},
		{name: "snapshot", disk: true}, {name: "enforce"}, {name: "fetch"}, {name: "start", disk: true},
		{name: "store", disk: true}, {name: "vote", disk: true}, {name: "replace", disk: true},
	}},
	{name: "orders", steps: []step{
		{name: "acquire", disk: true}, {name: "lease", disk: true}, {name: "send"}, {name: "renew", disk: true}, {name: "takeover", disk: true},
	}},
	{name: "no-loops", steps: []step{{name: "forward"}, {name: "receive"}}},
	{name: "residency", steps: []step{
		{name: "arrival"}, {name: "request"}, {name: "retry"}, {name: "mid-stream"}, {name: "record", disk: true}, {name: "forward"}, {name: "log"},
	}},
	{name: "cut-off", steps: []step{
		{name: "membership"}, {name: "chat"}, {name: "booking", disk: true}, {name: "configuration", disk: true}, {name: "recovery", disk: true},
	}},
	{name: "leaving", steps: []step{{name: "list"}, {name: "upstream"}, {name: "membership"}}},
	{name: "planned-stop", steps: []step{
		{name: "directory"}, {name: "arrival"}, {name: "mid-stream"}, {name: "membership"}, {name: "controller", disk: true},
	}},
	{name: "crashing-request", steps: []step{{name: "send"}, {name: "resend"}, {name: "other-gateway"}}},
	{name: "silent-connection", steps: []step{{name: "first-token"}, {name: "mid-stream"}, {name: "upstream"}, {name: "gateway"}, {name: "controller"}, {name: "caller"}}},
	{name: "retries", steps: []step{{name: "send"}, {name: "backoff"}, {name: "budget"}}},
}

// applies reports whether a fault can strike a step.
func (s step) applies(fault string) bool {
	return s.disk || !slices.Contains(diskFaults, fault)
}

// cellName is the name of the test that proves a cell, without the name of its test function.
func cellName(property, step, fault string) string {
	return property + "/" + step + "/" + fault
}

// faultAliases maps names of faults in tests that do not contain the name of their column.
var faultAliases = map[string]string{
	"all-disks-lost":               "disk-lost",
	"failed-sync":                  "failed-fsync",
	"kill-again-during-recovery":   "fault-during-recovery",
	"second-vm-fails-after-repair": "fault-during-recovery",
	"second-vm-fails-under-load":   "fault-during-recovery",
	"primary-then-member":          "fault-during-recovery",
	"short-hang-primary":           "hang-and-resume",
	"concurrent-resends":           "two-at-once",
	"crash-after-vote":             "kill",
	"upstream-crash":               "kill",
	"operators-race-over-http":     "two-at-once",
	"two-operators-one-version":    "two-at-once",
	"no-byte":                      "silent-connection",
	"late":                         "late-message",
	"late-attempt":                 "late-message",
	"late-chunk":                   "late-message",
	"late-report":                  "late-message",
}

// columnOf returns the column that a test's fault belongs to, or the name itself. A test may say more than its column,
// such as which process is killed, so several tests can prove one cell.
func columnOf(fault string) string {
	if column, ok := faultAliases[fault]; ok {
		return column
	}
	for _, column := range []string{"fault-during-recovery", "one-way-cut"} {
		if containsWords(fault, column) {
			return column
		}
	}
	for _, column := range faultColumns {
		if containsWords(fault, column) {
			return column
		}
	}
	return fault
}

// containsWords reports whether a kebab-case name contains another one at word boundaries.
func containsWords(name, part string) bool {
	return strings.Contains("-"+name+"-", "-"+part+"-")
}

// cells returns the names of all cells of the matrix.
func cells() []string {
	var names []string
	for _, each := range matrix {
		for _, step := range each.steps {
			for _, fault := range faultColumns {
				if step.applies(fault) {
					names = append(names, cellName(each.name, step.name, fault))
				}
			}
		}
	}
	return names
}
