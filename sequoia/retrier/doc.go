// Package retrier decides whether and when a failed request is sent again.
//
// Only a request that was not run is retried, or an idempotent one of which no byte reached the caller. A budget of
// this process and one of the fleet bound the extra load; the wait grows with each attempt and has full jitter.
package retrier
