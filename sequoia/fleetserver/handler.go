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
	// AddStreams records the versions that began streams.
	AddStreams(streams Streams)
	// FindStream returns the version that began a stream.
	FindStream(query StreamQuery) StreamVersion
	// HandleLease records the demand of an entry VM and returns its lease.
	HandleLease(request LeaseRequest) LeaseReply
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
		methodAddStreams: func(_ context.Context, params json.RawMessage) (any, error) {
			streams, err := messenger.Decode[Streams](params)
			if err != nil {
				return nil, err
			}
			service.AddStreams(streams)
			return struct{}{}, nil
		},
		methodFindStream: func(_ context.Context, params json.RawMessage) (any, error) {
			query, err := messenger.Decode[StreamQuery](params)
			if err != nil {
				return nil, err
			}
			return service.FindStream(query), nil
		},
		methodLease: func(_ context.Context, params json.RawMessage) (any, error) {
			request, err := messenger.Decode[LeaseRequest](params)
			if err != nil {
				return nil, err
			}
			return service.HandleLease(request), nil
		},
	}
}
