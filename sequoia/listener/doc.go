// Package listener serves one HTTP address until its context ends, and then stops gracefully.
package listener
