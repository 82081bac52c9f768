// Package reportserver transports service-level counts and token demand from gateways to the controllers of their
// availability zone, over JSON-RPC 2.0.
package reportserver
