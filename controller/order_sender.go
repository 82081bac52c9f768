package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"sequoiaspread.example/sequoia/orderer"
	"sequoiaspread.example/sequoia/verifier"
)

// maxOrderReplyBytes limits the body of the answer to an order.
const maxOrderReplyBytes = 64 << 10

// orderBody is the request body of an order to an engine.
type orderBody struct {
	FencingNumber uint64             `json:"fencing-number"`
	OrderID       string             `json:"order-id"`
	Model         string             `json:"model"`
	State         orderer.ModelState `json:"state"`
}

// orderSender sends orders to engines within their deadlines and cancels all pending orders when the lease is lost.
type orderSender struct {
	step   func(orderer.Message) []orderer.Effect
	client *http.Client

	mu          sync.Mutex
	sendContext context.Context
	cancel      context.CancelFunc
}

func newOrderSender(step func(orderer.Message) []orderer.Effect) *orderSender {
	// Each order uses a new connection, which is closed at the deadline: a pooled connection could still transmit bytes
	// after that.
	transport := verifier.NewTransport(verifier.TransportConfig{Base: &http.Transport{DisableKeepAlives: true}})
	s := &orderSender{step: step, client: &http.Client{Transport: transport}}
	s.reset()
	return s
}

func (s *orderSender) reset() {
	s.sendContext, s.cancel = context.WithCancel(context.Background())
}

func (s *orderSender) cancelAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancel()
	s.reset()
}

func (s *orderSender) send(ctx context.Context, address netip.AddrPort, order orderer.Send) {
	s.mu.Lock()
	sendContext := s.sendContext
	s.mu.Unlock()
	ctx, cancel := context.WithDeadline(ctx, order.Deadline)
	defer cancel()
	stop := context.AfterFunc(sendContext, cancel)
	defer stop()
	reply := orderer.OrderReply{ID: order.ID, Result: s.post(ctx, address, order)}
	for _, effect := range s.step(reply) {
		if _, ok := effect.(orderer.CancelAll); ok {
			s.cancelAll()
		}
	}
}

func (s *orderSender) post(ctx context.Context, address netip.AddrPort, order orderer.Send) orderer.Result {
	body, err := json.Marshal(orderBody{FencingNumber: order.FencingToken, OrderID: order.ID, Model: order.Target.Model, State: order.State})
	if err != nil {
		return orderer.ResultFailed
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address.String()+"/v1/orders", bytes.NewReader(body))
	if err != nil {
		return orderer.ResultFailed
	}
	request.Header.Set("Content-Type", "application/json")
	if !time.Now().Before(order.Deadline) {
		return orderer.ResultFailed
	}
	response, err := s.client.Do(request)
	if err != nil {
		return orderer.ResultFailed
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := verifier.ReadBody(response.Body, maxOrderReplyBytes); err != nil {
		return orderer.ResultFailed
	}
	switch response.StatusCode {
	case http.StatusOK, http.StatusAccepted:
		return orderer.ResultAccepted
	case http.StatusConflict, http.StatusPreconditionFailed:
		return orderer.ResultStaleFencingToken
	default:
		return orderer.ResultFailed
	}
}

func (o *orderManager) upstreamAddress(target orderer.Target) (netip.AddrPort, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, received := range o.zoneReports {
		for _, upstream := range received.report.Upstreams {
			if upstream.Name == target.Upstream && upstream.Incarnation == target.Incarnation {
				return upstream.Address, true
			}
		}
	}
	return netip.AddrPort{}, false
}
