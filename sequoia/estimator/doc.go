// Package estimator estimates the load of each upstream from lagging reports and from the requests sent since.
//
// Work is measured in tokens: the uncached part of the prompt and the expected answer length of the request's class.
// Requests sent by other VMs since the last report are extrapolated from those of this process, so that VMs do not all
// choose the upstream that looked idle in the last report.
package estimator
