package main

import (
	"context"
	"sync/atomic"

	"sequoiaspread.example/sequoia/classifier"
	"sequoiaspread.example/sequoia/restrictor"
)

// activeJob is a request in progress and the availability zone where it is.
type activeRequest struct {
	request *callerRequest
	zone    atomic.Pointer[string]
	cancel  context.CancelCauseFunc
}

// begin registers a request and bounds its time. The returned function ends it.
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

// recheck ends a request whose place a new configuration no longer allows.
func (a *activeRequest) recheck(env *environment) {
	if env.restrictor.Check(a.request.subject, restrictor.PurposeRequest, *a.zone.Load()) != nil {
		a.cancel(errResidencyWithdrawn)
	}
}

// recheckJobs applies a new configuration to the requests in progress.
func (g *gateway) recheckActiveRequests(env *environment) {
	g.activeRequestsLock.Lock()
	defer g.activeRequestsLock.Unlock()
	for _, active := range g.activeRequests {
		active.recheck(env)
	}
}

// allow is the residency check before bytes of a request go to an availability zone. It uses the configuration in
// force, which may be newer than the one with which the request began.
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
