package fleetserver

import (
	"context"
	"encoding/json"

	"sequoiaspread.example/sequoia/messenger"
)

// Service handles the calls of this package.
type Service interface {
	// HandleHeartbeat records a heartbeat and returns the reply.
	HandleHeartbeat(heartbeat Heartbeat) HeartbeatReply
	// AppliedState returns the state applied by this process.
	AppliedState() State
	// ReplayedState returns the state at the end of the log of a restarted voter.
	ReplayedState() State
}

// Methods returns the jsonrpc2 methods of this package, backed by a service.
func Methods(service Service) map[string]func(ctx context.Context, params json.RawMessage) (any, error) {
	return map[string]func(ctx context.Context, params json.RawMessage) (any, error){
		methodHeartbeat: func(_ context.Context, params json.RawMessage) (any, error) {
			heartbeat, err := messenger.Decode[Heartbeat](params)
			if err != nil {
				return nil, err
			}
			return service.HandleHeartbeat(heartbeat), nil
		},
		methodAppliedState: func(context.Context, json.RawMessage) (any, error) {
			return service.AppliedState(), nil
		},
		methodReplayedState: func(context.Context, json.RawMessage) (any, error) {
			return service.ReplayedState(), nil
		},
	}
}
