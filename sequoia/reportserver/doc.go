// Package reportserver carries service-level counts and demand from gateways to the controllers of their availability zone.
package reportserver
