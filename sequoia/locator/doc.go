// Package locator gives callers an ordered list of entry VMs with a lifetime, and tells a VM that is stopping
// until when callers may still come to it.
package locator
