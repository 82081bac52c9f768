package main

import "time"

const (
	maxBodyBytes   = 4 << 20
	maxHeaderBytes = 64 << 10
	// maxAnswerBytes bounds the memory that one buffered answer of an upstream can take.
	maxResponseBytes = 8 << 20
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 1 << 20

	headerTimeout = 5 * time.Second
	// bodyTimeout covers 4 MiB over a slow mobile link and frees the connection of a caller that stops sending.
	bodyTimeout = 20 * time.Second
	idleTimeout = 60 * time.Second
	// writeTimeout frees the upstream of a caller that stops reading.
	writeTimeout = 10 * time.Second

	dialTimeout = time.Second
	// silenceTimeout is how long a connection may carry no byte before it is replaced; it equals that of the
	// connections between processes.
	inactivityTimeout = 3 * time.Second
	// silentIntervals is how many token intervals of a rank count as silence within a stream.
	inactivityIntervals = 20
	// firstTokenSlack is how many first-token targets of a rank count as silence before a stream.
	firstTokenFactor = 2
	// wholeSlack is how many token intervals of a rank each token of an answer may take that is not streamed.
	bufferedTokenFactor = 2

	// directoryLifetime is how long a caller may use a directory answer.
	directoryLifetime = 10 * time.Second
	// heartbeatInterval is also how long another gateway may take to learn that this one stops.
	heartbeatInterval = time.Second
	// observedRounds is how many heartbeats pass between two that tell of watched upstreams; leaving ones are in each.
	observationRounds = int(loadInterval / heartbeatInterval)
	// memberTimeout is the age at which knowledge of another gateway expires.
	memberTimeout = 5 * time.Second
	// stopNotice covers a lost heartbeat and the aggregate's way through another availability zone.
	stopPropagationTime = 3 * heartbeatInterval
	// streamDrainTimeout ends a planned stop whose streams do not end; it is longer than any service timeout.
	drainTimeout = 10 * time.Minute

	configurationInterval = 500 * time.Millisecond
	platformInterval      = 500 * time.Millisecond
	// healthInterval and the platform interval keep the time to notice a leaving upstream under its bound of 3 s, with the
	// heartbeat that carries it to the other gateways of the availability zone.
	healthInterval = time.Second
	// loadInterval is no shorter than the lag of the engines' load reports.
	loadInterval = 2 * time.Second
	// cacheInterval is short against the time for which engines keep a prefix.
	cacheInterval = 2 * time.Second
	// watchTimeout is the age of the last health check at which a gateway checks an upstream itself: two rounds of health
	// check and heartbeat of the gateway that watches it.
	watchTimeout = 2*healthInterval + 2*heartbeatInterval
	// modelsInterval is short against a cold start.
	modelsInterval = 5 * time.Second
	pollTimeout    = time.Second
)
