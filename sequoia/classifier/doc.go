// Package classifier maps each failure cause of a request to its outcome for the caller: the request has not run, has
// run, or may have run.
package classifier
