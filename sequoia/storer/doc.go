// Package storer keeps a process's durable state in one bbolt file, with every write synced before it returns.
package storer
