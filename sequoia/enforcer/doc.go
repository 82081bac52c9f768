// Package enforcer holds the document that one process enforces; its version never decreases.
package enforcer
