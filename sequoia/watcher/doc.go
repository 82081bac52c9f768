// Package watcher polls the list of upstreams and the load of each upstream. The poll interval keeps the fleet as a
// whole within the rate limit of the list.
package watcher
