package answerer

import (
	"time"

	"github.com/sirupsen/logrus"

	"sequoiaspread.example/sequoia/dispatcher"
)

// Origins of what is known of an upstream, for the log.
const (
	fromAnswer = "answer"
	fromPeer   = "peer"
)

// LocalReports returns what this VM tells the other entry VMs of the region about what upstreams stated.
func (a *Answerer) LocalReports() dispatcher.Reports {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.dispatcher.LocalReports(time.Now())
}

// UpdateReports applies what another entry VM of the region knows of what upstreams stated.
func (a *Answerer) UpdateReports(reports dispatcher.Reports) {
	now := time.Now()
	a.mu.Lock()
	limited := a.dispatcher.UpdateLimits(now, reports.Limits)
	limits := make([]dispatcher.RateLimit, len(limited))
	for i, id := range limited {
		limits[i] = a.dispatcher.Limit(id)
	}
	leaving := a.dispatcher.UpdateLeaving(now, reports.Leaving)
	suspected := a.dispatcher.UpdateRestarts(now, reports.Restarts)
	if len(leaving) > 0 {
		a.notifyWaiters()
	}
	a.mu.Unlock()
	for i, id := range limited {
		a.logLimit(id, limits[i], fromPeer)
	}
	for _, id := range leaving {
		a.logLeaving(id, fromPeer)
	}
	for _, id := range suspected {
		a.logSuspicion(id, fromPeer)
	}
}

// recordStatements records what an upstream stated about itself in an answer. The requests that wait for it are placed
// again, since it may not be used any more.
func (a *Answerer) recordStatements(id string, info ResponseInfo) {
	now := time.Now()
	a.mu.Lock()
	limitChanged := (info.FromUpstream || info.Limit.Stated) && a.dispatcher.RecordLimit(now, id, info.Limit)
	leaves := info.Leaving && a.dispatcher.RecordLeaving(now, id)
	waits := a.dispatcher.RecordWait(now, id, info.Wait)
	if leaves || waits {
		a.notifyWaiters()
	}
	a.mu.Unlock()
	if limitChanged {
		a.logLimit(id, info.Limit, fromAnswer)
	}
	if leaves {
		a.logLeaving(id, fromAnswer)
	}
	if waits {
		a.config.Logger.WithFields(logrus.Fields{"upstream": id, "ms": info.Wait.Milliseconds()}).Info("upstream asked for a wait")
	}
}

func (a *Answerer) logLimit(id string, limit dispatcher.RateLimit, origin string) {
	a.config.Logger.WithFields(logrus.Fields{
		"upstream": id, "stated": limit.Stated, "per-second": limit.PerSecond, "origin": origin,
	}).Info("rate limit of an upstream changed")
}

func (a *Answerer) logLeaving(id, origin string) {
	a.config.Logger.WithFields(logrus.Fields{"upstream": id, "origin": origin}).Info("upstream stated that it is leaving")
}
