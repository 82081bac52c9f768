// Package coordinator is a process with a disk that agrees with its peers on the document in force and on evacuations,
// knows the live entry VMs from their reports, and tells callers which of them to use.
package coordinator
