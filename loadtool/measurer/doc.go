// Package measurer simulates routing, admission and concurrency limits in virtual time with simple models of runners,
// and compares them with baseline policies under the same seeded load.
package measurer
