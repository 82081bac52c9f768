// Package harness starts and stops all processes of a deployment on loopback addresses.
package harness
