// Package registrar is the replicated state machine of an environment that is described by one document with increasing
// versions: it holds the current document and the evacuated availability zones. It is deterministic and uses no clock
// or file.
package registrar
