package configserver

import (
	"context"
	"encoding/json"

	"sequoiaspread.example/sequoia/messenger"
	"sequoiaspread.example/sequoia/promoter"
)

// MethodFunc handles one jsonrpc2 method.
type MethodFunc = func(ctx context.Context, params json.RawMessage) (any, error)

// Handler serves the methods of this package for a Service.
type Handler struct {
	service Service
}

// NewHandler returns a handler for a service.
func NewHandler(service Service) *Handler {
	return &Handler{service: service}
}

// Methods returns the method handlers by name, for a server that also has other methods.
func (h *Handler) Methods() map[string]MethodFunc {
	return map[string]MethodFunc{
		methodConfiguration: h.configuration,
		methodPromote:       h.promote,
		methodStatus:        func(context.Context, json.RawMessage) (any, error) { return h.service.Status(), nil },
		methodHistory:       h.history,
	}
}

// Handle handles a call; it implements messenger.Handler.
func (h *Handler) Handle(ctx context.Context, method string, params json.RawMessage) (any, error) {
	handle, ok := h.Methods()[method]
	if !ok {
		return nil, messenger.MethodNotFound(method)
	}
	return handle(ctx, params)
}

func (h *Handler) configuration(_ context.Context, params json.RawMessage) (any, error) {
	poll, err := messenger.Decode[pollParams](params)
	if err != nil {
		return nil, err
	}
	update := h.service.Configuration(Poll(poll))
	result := updateResult{Version: update.Version, ViewsRevision: update.ViewsRevision, Views: update.Views}
	if update.Newer {
		result.Text = update.Text
	}
	return result, nil
}

func (h *Handler) promote(ctx context.Context, params json.RawMessage) (any, error) {
	promotion, err := messenger.Decode[promoteParams](params)
	if err != nil {
		return nil, err
	}
	if promotion.RequestID == "" {
		return nil, &messenger.RemoteError{Code: messenger.CodeInvalidParams, Message: "a promotion needs a request id"}
	}
	return h.service.Promote(ctx, Promotion(promotion))
}

func (h *Handler) history(context.Context, json.RawMessage) (any, error) {
	history := h.service.History()
	if history == nil {
		history = []promoter.Promotion{}
	}
	return history, nil
}
