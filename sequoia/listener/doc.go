// Package listener serves HTTP on one address until its context ends, and then shuts down gracefully.
package listener
