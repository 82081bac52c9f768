package fleetserver

import (
	"context"
	"encoding/json"

	"sequoiaspread.example/sequoia/messenger"
)

// Service is what a Handler asks for answers.
type Service interface {
	// Report takes in a heartbeat and returns what is in force.
	HandleHeartbeat(report Heartbeat) HeartbeatReply
	// InForce returns the state as applied here.
	AppliedState() State
	// Logged returns the state at the end of the log of a restarted voter.
	ReplayedState() State
}

// Methods returns the jsonrpc2 methods of this package for a service.
func Methods(service Service) map[string]func(ctx context.Context, params json.RawMessage) (any, error) {
	return map[string]func(ctx context.Context, params json.RawMessage) (any, error){
		methodReport: func(_ context.Context, params json.RawMessage) (any, error) {
			report, err := messenger.Decode[Heartbeat](params)
			if err != nil {
				return nil, err
			}
			return service.HandleHeartbeat(report), nil
		},
		methodFetch: func(context.Context, json.RawMessage) (any, error) {
			return service.AppliedState(), nil
		},
		methodLogged: func(context.Context, json.RawMessage) (any, error) {
			return service.ReplayedState(), nil
		},
	}
}
