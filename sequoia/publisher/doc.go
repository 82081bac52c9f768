// Package publisher carries typed events inside one process over watermill.
package publisher
