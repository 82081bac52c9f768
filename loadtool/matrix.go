package main

import (
	"slices"
	"strings"
)

// Faults of the matrix, by the component that they affect.
var (
	processFaults = []string{"kill", "restart", "hang-and-resume", "two-at-once", "fault-during-recovery", "clock-step"}
	diskFaults    = []string{"disk-lost", "disk-full", "torn-record", "failed-fsync"}
	linkFaults    = []string{"cut", "one-way-cut", "slow-link", "duplicate", "reorder", "late-message", "silent-connection"}
)

// faultColumns lists all faults in the order of the printed matrix.
var faultColumns = slices.Concat(processFaults, diskFaults, linkFaults)

// step is the point of an operation at which a fault is injected.
type step struct {
	name string
	// usesDisk reports whether the step reads or writes a data folder, so that disk faults can affect it.
	usesDisk bool
}

// property is one guarantee of the system and the steps at which faults could violate it.
type property struct {
	name  string
	steps []step
}

// matrix defines the cells that tests must cover: each fault at each step of each property.
var matrix = []property{
	{name: "at-most-once", steps: []step{
		{name: "begin", usesDisk: true}, {name: "copy", usesDisk: true}, {name: "ack", usesDisk: true}, {name: "reply", usesDisk: true}, {name: "send", usesDisk: true},
		{name: "answer", usesDisk: true}, {name: "finish", usesDisk: true}, {name: "done", usesDisk: true}, {name: "resend", usesDisk: true},
		{name: "repair", usesDisk: true}, {name: "session", usesDisk: true},
	}},
	{name: "not-run", steps: []step{
		{name: "before-send"}, {name: "after-send"}, {name: "release", usesDisk: true},
	}},
	{name: "whole-answer", steps: []step{
		{name: "start"}, {name: "first-chunk"}, {name: "mid-stream"}, {name: "between-attempts"}, {name: "end"},
	}},
	{name: "configuration", steps: []step{
		{name: "promote", usesDisk: true}, {name: "agreement", usesDisk: true}, {name: "membership", usesDisk: true},
		{name: "snapshot", usesDisk: true}, {name: "enforce"}, {name: "fetch"}, {name: "start", usesDisk: true},
		{name: "store", usesDisk: true}, {name: "vote", usesDisk: true}, {name: "replace", usesDisk: true},
	}},
	{name: "orders", steps: []step{
		{name: "acquire", usesDisk: true}, {name: "lease", usesDisk: true}, {name: "send"}, {name: "renew", usesDisk: true}, {name: "takeover", usesDisk: true},
	}},
	{name: "no-loops", steps: []step{{name: "forward"}, {name: "receive"}}},
	{name: "residency", steps: []step{
		{name: "arrival"}, {name: "request"}, {name: "retry"}, {name: "mid-stream"}, {name: "record", usesDisk: true}, {name: "forward"}, {name: "log"},
	}},
	{name: "cut-off", steps: []step{
		{name: "membership"}, {name: "chat"}, {name: "booking", usesDisk: true}, {name: "configuration", usesDisk: true}, {name: "recovery", usesDisk: true},
	}},
	{name: "leaving", steps: []step{{name: "list"}, {name: "upstream"}, {name: "membership"}}},
	{name: "planned-stop", steps: []step{
		{name: "directory"}, {name: "arrival"}, {name: "mid-stream"}, {name: "membership"}, {name: "controller", usesDisk: true},
	}},
	{name: "crashing-request", steps: []step{{name: "send"}, {name: "resend"}, {name: "other-gateway"}}},
	{name: "silent-connection", steps: []step{{name: "first-token"}, {name: "mid-stream"}, {name: "upstream"}, {name: "gateway"}, {name: "controller"}, {name: "caller"}}},
	{name: "retries", steps: []step{{name: "send"}, {name: "backoff"}, {name: "budget"}}},
}

// applies reports whether a fault can affect a step.
func (s step) applies(fault string) bool {
	return s.usesDisk || !slices.Contains(diskFaults, fault)
}

// cellName returns the name of the test that covers a cell, without the name of its test function.
func cellName(property, step, fault string) string {
	return property + "/" + step + "/" + fault
}

// faultAliases maps fault names of tests that do not contain the name of their column to that column.
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

// columnOf returns the column of a test's fault name, or the name itself if there is none. A fault name may be more
// specific than its column, for example name the process that is killed, so several tests can cover one cell.
func columnOf(fault string) string {
	if column, ok := faultAliases[fault]; ok {
		return column
	}
	for _, column := range []string{"fault-during-recovery", "one-way-cut"} {
		if containsPhrase(fault, column) {
			return column
		}
	}
	for _, column := range faultColumns {
		if containsPhrase(fault, column) {
			return column
		}
	}
	return fault
}

// containsPhrase reports whether a kebab-case name contains another one at word boundaries.
func containsPhrase(name, part string) bool {
	return strings.Contains("-"+name+"-", "-"+part+"-")
}

// cellNames returns the names of all cells of the matrix.
func cellNames() []string {
	var names []string
	for _, property := range matrix {
		for _, step := range property.steps {
			for _, fault := range faultColumns {
				if step.applies(fault) {
					names = append(names, cellName(property.name, step.name, fault))
				}
			}
		}
	}
	return names
}
