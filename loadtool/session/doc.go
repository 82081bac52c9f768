// Package session sends a mixed load to a deployment as its callers do, and checks every answer.
package session
