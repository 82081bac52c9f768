package main

import (
	"context"
	"sync/atomic"

	"sequoiaspread.example/sequoia/classifier"
	"sequoiaspread.example/sequoia/restrictor"
)

// activeJob is a request in progress and the availability zone where it is.
type activeJob struct {
	job    *job
	place  atomic.Pointer[string]
	cancel context.CancelCauseFunc
}

// begin registers a request and bounds its time. The returned function ends it.
func (g *gateway) begin(parent context.Context, j *job) (context.Context, func()) {
	limited, endLimit := context.WithTimeoutCause(parent, j.service.Timeout.Duration, errTimedOut)
	ctx, cancel := context.WithCancelCause(limited)
	active := &activeJob{job: j, cancel: cancel}
	active.place.Store(&g.settings.Zone)
	g.jobsLock.Lock()
	g.jobs[j.id] = active
	g.jobsLock.Unlock()
	if env := g.environment.Load(); env != j.env {
		active.recheck(env)
	}
	return ctx, func() {
		g.jobsLock.Lock()
		if g.jobs[j.id] == active {
			delete(g.jobs, j.id)
		}
		g.jobsLock.Unlock()
		cancel(context.Canceled)
		endLimit()
	}
}

// recheck ends a request whose place a new configuration no longer allows.
func (a *activeJob) recheck(env *environment) {
	if env.restrictor.Check(a.job.subject, restrictor.PurposeRequest, *a.place.Load()) != nil {
		a.cancel(errWithdrawn)
	}
}

// recheckJobs applies a new configuration to the requests in progress.
func (g *gateway) recheckJobs(env *environment) {
	g.jobsLock.Lock()
	defer g.jobsLock.Unlock()
	for _, active := range g.jobs {
		active.recheck(env)
	}
}

// allow is the residency check before bytes of a request go to an availability zone. It uses the configuration in
// force, which may be newer than the one with which the request began.
func (g *gateway) allow(j *job, purpose restrictor.Purpose, zone string) error {
	if err := g.environment.Load().restrictor.Check(j.subject, purpose, zone); err != nil {
		return final(newFailure("check residency", classifier.CauseResidency, err))
	}
	g.jobsLock.Lock()
	defer g.jobsLock.Unlock()
	if active, ok := g.jobs[j.id]; ok && purpose != restrictor.PurposeRecord {
		active.place.Store(&zone)
	}
	return nil
}
