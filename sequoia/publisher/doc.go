// Package publisher is a typed in-process event bus over watermill.
package publisher
