package fleetserver

import (
	"context"
	"encoding/json"

	"sequoiaspread.example/sequoia/messenger"
)

// Service is what a Handler asks for answers.
type Service interface {
	// Report takes in a heartbeat and returns what is in force.
	Report(report Report) Reply
	// InForce returns the state as applied here.
	InForce() State
	// Logged returns the state at the end of the log of a restarted voter.
	Logged() State
}

// Methods returns the jsonrpc2 methods of this package for a service.
func Methods(service Service) map[string]func(ctx context.Context, params json.RawMessage) (any, error) {
	return map[string]func(ctx context.Context, params json.RawMessage) (any, error){
		methodReport: func(_ context.Context, params json.RawMessage) (any, error) {
			report, err := messenger.Decode[Report](params)
			if err != nil {
				return nil, err
			}
			return service.Report(report), nil
		},
		methodFetch: func(context.Context, json.RawMessage) (any, error) {
			return service.InForce(), nil
		},
		methodLogged: func(context.Context, json.RawMessage) (any, error) {
			return service.Logged(), nil
		},
	}
}
