// Package relay forwards TCP connections and injects network faults into them for tests.
package relay
