// Package dispatcher selects the upstream for a request within one region. It is a pure state machine without I/O or
// clocks: upstream lists, load reports and request completions go in, choices come out. It handles three load patterns:
// many callers whose prompts share a prefix (an upstream that has the prefix cached is preferred until its queue costs
// more than recomputing the prefix), a peak that fills every batch (upstreams accept work up to a bounded queue and the
// rest is refused at once), and upstreams that return cold (one entry VM sends to each of them, below the rate that the
// service tolerates).
package dispatcher
