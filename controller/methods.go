package main

import (
	"context"
	"encoding/json"
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
