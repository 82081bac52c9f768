// Package harness starts the processes of a whole deployment on loopback addresses, and stops them.
package harness
