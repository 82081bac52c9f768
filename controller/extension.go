package main

import "context"

// extension is a component of the controller that has its own jsonrpc2 methods and background work.
type extension interface {
	// register adds the component's methods; it is called before the server starts.
	register(table *methodTable)
	// run blocks until the context is cancelled; an error stops the controller.
	run(ctx context.Context) error
}

// newExtensions returns the components that run alongside the consensus member.
func newExtensions(n *node) []extension {
	return []extension{newReportStore(n), newOrderManager(n), newNodeRecordMember(n)}
}
