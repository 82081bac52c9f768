// Package session sends a mixed load to a deployment as its callers do, and validates every response.
package session
