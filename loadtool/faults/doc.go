// Package faults proves properties of the system with its own processes under faults; it consists of tests, which run
// under make prove and, with SEQUOIA_PROVE=1 in the environment, under go test.
package faults
