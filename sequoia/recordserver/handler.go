package recordserver

import (
	"context"
	"encoding/json"

	"sequoiaspread.example/sequoia/messenger"
	"sequoiaspread.example/sequoia/recorder"
)

// Member is the process side of a member of a record group.
type Member interface {
	// Ask decides one request; it returns when the decision is durable on the members of the view, or the context ends.
	Submit(ctx context.Context, request recorder.Request) (recorder.Reply, error)
	// Deliver passes a message of another member on; it may drop it when the member is busy.
	Deliver(message recorder.PeerMessage)
}

// Handler answers the methods of a record group member.
type Handler struct {
	member Member
}

// NewHandler returns the handler of a member.
func NewHandler(member Member) *Handler {
	return &Handler{member: member}
}

// Methods returns the names of the methods that Handle answers.
func Methods() []string {
	return []string{methodBegin, methodFinish, methodRelease, methodLookup, methodSession, methodCopy}
}

// Handle answers one call.
func (h *Handler) Handle(ctx context.Context, method string, params json.RawMessage) (any, error) {
	if method == methodCopy {
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

// Answer returns the function that answers one method.
func (h *Handler) MethodHandler(method string) func(ctx context.Context, params json.RawMessage) (any, error) {
	return func(ctx context.Context, params json.RawMessage) (any, error) {
		return h.Handle(ctx, method, params)
	}
}
