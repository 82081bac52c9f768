// Package classifier maps every error path of a request to what the caller may conclude from it:
// the request was not run, ran, or its outcome is unknown.
package classifier
