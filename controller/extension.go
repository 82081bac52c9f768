package main

import "context"

// extension is a part of the controller with its own jsonrpc2 methods and background work.
type extension interface {
	// register adds the methods before the server starts.
	register(methods *methods)
	// run works until the context is cancelled; an error stops the controller.
	run(ctx context.Context) error
}

// newExtensions returns the parts that run beside the agreement.
func newExtensions(n *node) []extension {
	return []extension{newReports(n), newOrders(n), newNodeRecords(n)}
}
