// Package retrier decides whether and when to retry a failed request.
//
// A request is retried only if no byte of the answer has reached the caller, and it either has not run or is
// idempotent. A retry budget per process and one for the whole fleet bound the additional load. Retries use exponential
// backoff with full jitter.
package retrier
