package main

import (
	"context"
	"encoding/json"

	"sequoiaspread.example/sequoia/messenger"
)

// methodHandler handles the calls of one jsonrpc2 method.
type methodHandler func(ctx context.Context, params json.RawMessage) (any, error)

// methodTable dispatches jsonrpc2 calls to the handlers of their methods.
type methodTable struct {
	handlers map[string]methodHandler
}

func newMethodTable() *methodTable {
	return &methodTable{handlers: map[string]methodHandler{}}
}

// register adds a method; it panics if the name is already registered.
func (m *methodTable) register(name string, handler methodHandler) {
	if _, ok := m.handlers[name]; ok {
		panic("jsonrpc2 method registered twice: " + name)
	}
	m.handlers[name] = handler
}

// Handle calls the handler of a method.
func (m *methodTable) Handle(ctx context.Context, method string, params json.RawMessage) (any, error) {
	handler, ok := m.handlers[method]
	if !ok {
		return nil, messenger.MethodNotFound(method)
	}
	return handler(ctx, params)
}
