package main

import (
	"context"
	"encoding/json"

	"sequoiaspread.example/sequoia/messenger"
)

// methodFunc answers one jsonrpc2 method.
type methodFunc func(ctx context.Context, params json.RawMessage) (any, error)

// methods routes jsonrpc2 methods to their functions.
type methods struct {
	table map[string]methodFunc
}

func newMethods() *methods {
	return &methods{table: map[string]methodFunc{}}
}

// register adds a method; a second registration of one name is a programming error.
func (m *methods) register(name string, answer methodFunc) {
	if _, ok := m.table[name]; ok {
		panic("jsonrpc2 method registered twice: " + name)
	}
	m.table[name] = answer
}

// Handle answers a call.
func (m *methods) Handle(ctx context.Context, method string, params json.RawMessage) (any, error) {
	answer, ok := m.table[method]
	if !ok {
		return nil, messenger.MethodNotFound(method)
	}
	return answer(ctx, params)
}
