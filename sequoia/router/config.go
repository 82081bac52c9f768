package router

import (
	"time"

	"sequoiaspread.example/sequoia/estimator"
	"sequoiaspread.example/sequoia/parser"
)

// Config sets the location of the router, the latency targets and the network costs of forwarding.
type Config struct {
	Zone      string
	Region    string
	Ranks     []parser.Rank
	Network   parser.Network
	Estimator estimator.Config
}

// Limits and thresholds of routing decisions.
const (
	// ForwardStartMargin is how much faster another availability zone must be before requests are forwarded to it.
	ForwardStartMargin = 40 * time.Millisecond
	// ForwardKeepMargin is how much faster it must remain for forwarding to continue.
	ForwardKeepMargin = 10 * time.Millisecond
	// ForwardStartMarginRatio is the minimum of ForwardStartMargin as a fraction of the local time. When queues are long
	// everywhere, their waits differ by more than ForwardStartMargin although forwarding gains nothing.
	ForwardStartMarginRatio = 0.25
	// ForwardKeepMarginRatio is the minimum of ForwardKeepMargin as a fraction of the local time.
	ForwardKeepMarginRatio = 0.1
	// ForwardStartTargetRatio is the fraction of the first-token target that the local time must exceed before requests
	// are forwarded.
	ForwardStartTargetRatio = 0.5
	// ForwardKeepTargetRatio is the fraction that the local time must still exceed for forwarding to continue.
	ForwardKeepTargetRatio = 0.3
	// RampPerSecond is the maximum increase per second of the traffic share of a recovering upstream or zone.
	RampPerSecond = 0.1
	// ZoneTimeout is the age at which the report of an availability zone expires.
	ZoneTimeout = 5 * time.Second
	// StartupGrace is the time after the first message during which new upstreams are assumed to be in use by other VMs
	// already, so they get no slow start.
	StartupGrace = 5 * time.Second
	// LoadBound is the maximum load of the preferred upstream of a prefix, relative to the mean load.
	LoadBound = 1.25
	// loadEstimateError is the typical error of an estimated load, in requests.
	loadEstimateError = 2.5
	// packetLossPenalty is the retransmission delay caused by one lost packet.
	packetLossPenalty = 200 * time.Millisecond
	// fullLoadPenalty is the cost of the last slot of a batch compared with the first.
	fullLoadPenalty = 60 * time.Millisecond
	// tieBreakShift reduces a hash to a cost of 0 to 4.2 ms that breaks ties between equal upstreams, so that VMs do not
	// all choose the same one.
	tieBreakShift = 64 - 22
	// rendezvousShift keeps the high bits of a product of hashes, which are better mixed than the low ones.
	rendezvousShift = 16
	// affinityHitShare is the fraction of a prompt that the preferred upstream is expected to have cached for later
	// requests.
	affinityHitShare = 0.5
	// bytesPerToken estimates the size of a prompt whose size is not given.
	bytesPerToken = 4
	// reservationTimeout releases an upstream reserved for a request that never ran there.
	reservationTimeout = 60 * time.Second
	// noUpstreamRetryAfter is the retry delay when no upstream can serve the request.
	noUpstreamRetryAfter = 2 * time.Second
)

func (c Config) firstTokenTarget(rank int) time.Duration {
	if rank < 0 || rank >= len(c.Ranks) {
		return 0
	}
	return c.Ranks[rank].FirstTokenTarget.Duration
}
