package recordserver

import (
	"context"
	"encoding/json"

	"sequoiaspread.example/sequoia/messenger"
	"sequoiaspread.example/sequoia/recorder"
)

// Member is a member of a record group, as the handler uses it.
type Member interface {
	// Submit decides one request. It returns when the decision is durable on the members of the view, or the context
	// ends.
	Submit(ctx context.Context, request recorder.Request) (recorder.Reply, error)
	// Deliver passes on a message of another member. It may drop the message when the member is busy.
	Deliver(message recorder.PeerMessage)
}

// Handler handles the JSON-RPC methods of a record group member.
type Handler struct {
	member Member
}

// NewHandler returns the handler of a member.
func NewHandler(member Member) *Handler {
	return &Handler{member: member}
}

// Methods returns the names of the methods that Handle accepts.
func Methods() []string {
	return []string{methodBegin, methodFinish, methodRelease, methodLookup, methodSession, methodPeerMessage}
}

// Handle handles one call.
func (h *Handler) Handle(ctx context.Context, method string, params json.RawMessage) (any, error) {
	if method == methodPeerMessage {
		return h.deliver(params)
	}
	request, err := decodeRequest(method, params)
	if err != nil {
		return nil, err
	}
	reply, err := h.member.Submit(ctx, request)
	if err != nil {
		return nil, newError(method, KindStopped, err)
	}
	return encodeReply(reply), nil
}

func (h *Handler) deliver(params json.RawMessage) (any, error) {
	wire, err := messenger.Decode[wirePeer](params)
	if err != nil {
		return nil, err
	}
	message, ok := wire.message()
	if !ok {
		return nil, &messenger.RemoteError{Code: messenger.CodeInvalidParams, Message: "no known message"}
	}
	h.member.Deliver(message)
	return struct{}{}, nil
}

func decodeRequest(method string, params json.RawMessage) (recorder.Request, error) {
	switch method {
	case methodBegin:
		wire, err := messenger.Decode[wireBegin](params)
		return recorder.Begin(wire), err
	case methodFinish:
		wire, err := messenger.Decode[wireFinish](params)
		return recorder.Finish(wire), err
	case methodRelease:
		wire, err := messenger.Decode[wireRelease](params)
		return recorder.Release(wire), err
	case methodLookup:
		wire, err := messenger.Decode[wireLookup](params)
		return recorder.Lookup(wire), err
	case methodSession:
		wire, err := messenger.Decode[wireSession](params)
		return recorder.Session(wire), err
	}
	return nil, messenger.MethodNotFound(method)
}

// MethodHandler returns the handler function of one method.
func (h *Handler) MethodHandler(method string) func(ctx context.Context, params json.RawMessage) (any, error) {
	return func(ctx context.Context, params json.RawMessage) (any, error) {
		return h.Handle(ctx, method, params)
	}
}
