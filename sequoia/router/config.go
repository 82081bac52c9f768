package router

import (
	"time"

	"sequoiaspread.example/sequoia/estimator"
	"sequoiaspread.example/sequoia/parser"
)

// Config places the router and sets the prices of crossing.
type Config struct {
	Zone      string
	Region    string
	Ranks     []parser.Rank
	Network   parser.Network
	Estimator estimator.Config
}

// Prices, margins and bounds of routing.
const (
	// EnterMargin is how much faster another availability zone must be before requests start to cross.
	ForwardStartMargin = 40 * time.Millisecond
	// StayMargin is how much faster it must remain for requests to continue to cross.
	ForwardKeepMargin = 10 * time.Millisecond
	// EnterMarginPart is the least EnterMargin as a part of the time here; long queues everywhere differ by more than
	// EnterMargin without any gain from crossing.
	ForwardStartMarginRatio = 0.25
	// StayMarginPart is the least StayMargin as a part of the time here.
	ForwardKeepMarginRatio = 0.1
	// EnterShare is the share of the first-token target that the expected time here must exceed before requests cross.
	ForwardStartTargetRatio = 0.5
	// StayShare is the share that it must still exceed for requests to continue to cross.
	ForwardKeepTargetRatio = 0.3
	// RampPerSecond is the largest share of traffic by which a returning upstream or zone grows in a second.
	RampPerSecond = 0.1
	// ZoneTimeout is the age at which the report of an availability zone no longer counts.
	ZoneTimeout = 5 * time.Second
	// StartGrace is the time after the first message in which new upstreams are taken as already in use by others.
	StartupGrace = 5 * time.Second
	// LoadBound is how far above the mean load the preferred upstream of a prefix may be.
	LoadBound = 1.25
	// loadError is the usual error of an estimated load, in requests.
	loadError = 2.5
	// lossPenalty is the retransmission time that one lost packet costs.
	lossPenalty = 200 * time.Millisecond
	// loadPrice is the cost of the last slot of a batch, against that of the first.
	loadPrice = 60 * time.Millisecond
	// tieShift makes a spread of 0 to 4.2 ms from a hash; it separates upstreams that look equal, so that VMs do not
	// all choose the same one.
	tieShift = 64 - 22
	// favourShift takes the well mixed high bits of a product of hashes.
	favourShift = 16
	// affinityShare is the part of the prompt that the preferred upstream of a prefix is expected to hold later.
	affinityShare = 0.5
	// bytesPerToken estimates the size of a prompt when the caller states none.
	bytesPerToken = 4
	// reserveTimeout ends the reservation of an upstream for a request that never ran there.
	reserveTimeout = 60 * time.Second
	// unknownRetry is the retry time when nothing can serve the request now.
	unknownRetry = 2 * time.Second
)

func (c Config) target(rank int) time.Duration {
	if rank < 0 || rank >= len(c.Ranks) {
		return 0
	}
	return c.Ranks[rank].FirstTokenTarget.Duration
}
