package main

import (
	"context"
	"sync/atomic"

	"sequoiaspread.example/sequoia/classifier"
	"sequoiaspread.example/sequoia/restrictor"
)

// activeRequest is a request in progress and the availability zone that currently processes it.
type activeRequest struct {
	request *callerRequest
	zone    atomic.Pointer[string]
	cancel  context.CancelCauseFunc
}

// trackRequest registers a request and applies the service timeout to its context. The returned function unregisters
// it.
func (g *gateway) trackRequest(parent context.Context, req *callerRequest) (context.Context, func()) {
	limited, endLimit := context.WithTimeoutCause(parent, req.service.Timeout.Duration, errTimedOut)
	ctx, cancel := context.WithCancelCause(limited)
	active := &activeRequest{request: req, cancel: cancel}
	active.zone.Store(&g.settings.Zone)
	g.activeRequestsLock.Lock()
	g.activeRequests[req.id] = active
	g.activeRequestsLock.Unlock()
	if env := g.environment.Load(); env != req.env {
		active.recheck(env)
	}
	return ctx, func() {
		g.activeRequestsLock.Lock()
		if g.activeRequests[req.id] == active {
			delete(g.activeRequests, req.id)
		}
		g.activeRequestsLock.Unlock()
		cancel(context.Canceled)
		endLimit()
	}
}

// recheck cancels a request if a new configuration no longer allows its availability zone.
func (a *activeRequest) recheck(env *environment) {
	if env.restrictor.Check(a.request.subject, restrictor.PurposeRequest, *a.zone.Load()) != nil {
		a.cancel(errResidencyWithdrawn)
	}
}

// recheckActiveRequests applies the residency rules of a new configuration to the requests in progress.
func (g *gateway) recheckActiveRequests(env *environment) {
	g.activeRequestsLock.Lock()
	defer g.activeRequestsLock.Unlock()
	for _, active := range g.activeRequests {
		active.recheck(env)
	}
}

// checkResidency must pass before bytes of a request are sent to an availability zone. It uses the current
// configuration, which may be newer than the one that the request started with. Unless only a record is sent there, the
// zone becomes the one that a later configuration is checked against.
func (g *gateway) checkResidency(req *callerRequest, purpose restrictor.Purpose, zone string) error {
	if err := g.environment.Load().restrictor.Check(req.subject, purpose, zone); err != nil {
		return asFinal(newFailure("check residency", classifier.CauseResidency, err))
	}
	g.activeRequestsLock.Lock()
	defer g.activeRequestsLock.Unlock()
	if active, ok := g.activeRequests[req.id]; ok && purpose != restrictor.PurposeRecord {
		active.zone.Store(&zone)
	}
	return nil
}
