// Package reporter counts the requests that met their service-level targets and computes the burn rate of the error
// budget.
package reporter
