// Package locator provides callers with an ordered list of entry VMs that is valid for a limited time, and tells a
// stopping VM when no caller can still be using it.
package locator
