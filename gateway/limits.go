package main

import "time"

const (
	maxBodyBytes = 4 << 20
	// maxHeaderBytes limits the head of a request of a caller and of a response of an upstream.
	maxHeaderBytes = 64 << 10
	// maxResponseBytes limits the memory that one buffered response of an upstream uses.
	maxResponseBytes = 8 << 20
	// maxEventBytes limits the size of one event of a stream, with the comments and empty lines before it.
	maxEventBytes = 1 << 20

	headerTimeout = 5 * time.Second
	// bodyTimeout allows 4 MiB over a slow mobile link, and frees the connection of a caller that stops sending.
	bodyTimeout = 20 * time.Second
	idleTimeout = 60 * time.Second
	// writeTimeout frees the upstream of a caller that stops reading.
	writeTimeout = 10 * time.Second

	dialTimeout = time.Second
	// inactivityTimeout is how long a connection may carry no data before it is replaced. It equals the timeout of the
	// connections between processes.
	inactivityTimeout = 3 * time.Second
	// inactivityIntervals is the inactivity timeout within a stream, in token intervals of the rank.
	inactivityIntervals = 20
	// firstTokenFactor is the inactivity timeout before a stream, in first-token targets of the rank.
	firstTokenFactor = 2
	// bufferedTokenFactor is the time allowed for each token of a response that isn't streamed, in token intervals of
	// the rank.
	bufferedTokenFactor = 2

	// directoryLifetime is how long a caller may use a directory response.
	directoryLifetime = 10 * time.Second
	// heartbeatInterval is also the time until other gateways learn that this one is stopping.
	heartbeatInterval = time.Second
	// observationRounds is the number of heartbeat rounds between two reports of upstream observations. Draining
	// upstreams are reported in every round.
	observationRounds = int(loadInterval / heartbeatInterval)
	// memberTimeout is the age at which the status of another gateway expires.
	memberTimeout = 5 * time.Second
	// stopPropagationTime allows for one lost heartbeat, and for the propagation of the zone summary through another
	// availability zone.
	stopPropagationTime = 3 * heartbeatInterval
	// drainTimeout ends a graceful drain whose streams don't complete. It is longer than any service timeout.
	drainTimeout = 10 * time.Minute

	configurationInterval = 500 * time.Millisecond
	platformInterval      = 500 * time.Millisecond
	// healthInterval and platformInterval, together with the heartbeat to the other gateways of the availability zone,
	// keep the detection time for a draining upstream below its limit of 3 s.
	healthInterval = time.Second
	// loadInterval is not shorter than the delay of the engines' load reports.
	loadInterval = 2 * time.Second
	// cacheInterval is much shorter than the time for which engines cache a prefix.
	cacheInterval = 2 * time.Second
	// watchTimeout is the age of the last health check at which a gateway checks an upstream itself: two health checks
	// and two heartbeats of the watcher of the upstream.
	watchTimeout = 2*healthInterval + 2*heartbeatInterval
	// modelsInterval is much shorter than a cold start.
	modelsInterval = 5 * time.Second
	pollTimeout    = time.Second
)
