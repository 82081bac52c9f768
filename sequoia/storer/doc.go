// Package storer stores the durable state of a process in one bbolt file and syncs every write to disk before it
// returns.
package storer
