// Package restrictor is the one residency filter; it is called last before any byte of a request leaves a process.
package restrictor
