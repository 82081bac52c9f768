// Package faults proves properties of the system with its own processes under faults; it consists of tests.
package faults
