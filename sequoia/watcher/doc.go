// Package watcher reads the list of upstreams and their reports, at intervals that keep the whole fleet within the
// rate that the list accepts.
package watcher
