// Command plainservice simulates an ordinary HTTP service, such as one that takes bookings. It counts the executions of
// each call, so that tests can detect duplicate and late executions.
package main
