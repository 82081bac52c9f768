// Package registrar is the replicated state of an environment that is described by one document with rising versions:
// the document in force and the availability zones that are evacuated. It is deterministic and has no clock or file.
package registrar
