// Package faults contains end-to-end fault tests: they run a small deployment of real processes and inject faults into
// its processes and network links. The tests run under make prove, and under go test if SEQUOIA_PROVE=1 is set.
package faults
