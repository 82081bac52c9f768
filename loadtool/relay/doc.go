// Package relay passes TCP connections on and puts faults of a link on them for tests.
package relay
