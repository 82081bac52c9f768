// Package restrictor enforces data residency. It is the only residency check, and must be the last step before any
// byte of a request leaves a process.
package restrictor
