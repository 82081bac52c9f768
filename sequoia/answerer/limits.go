package answerer

import (
	"time"

	"github.com/sirupsen/logrus"

	"sequoiaspread.example/sequoia/dispatcher"
)

// Origins of what is known of a limit, for the log.
const (
	limitFromAnswer = "answer"
	limitFromPeer   = "peer"
)

// LocalLimits returns the rate limits that upstreams stated to this VM lately.
func (a *Answerer) LocalLimits() map[dispatcher.UpstreamKey]dispatcher.LimitReport {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.dispatcher.LocalLimits(time.Now())
}

// UpdateLimits applies what another entry VM of the region knows of the rate limits of upstreams.
func (a *Answerer) UpdateLimits(reports map[dispatcher.UpstreamKey]dispatcher.LimitReport) {
	a.mu.Lock()
	changed := a.dispatcher.UpdateLimits(time.Now(), reports)
	limits := make([]dispatcher.RateLimit, len(changed))
	for i, id := range changed {
		limits[i] = a.dispatcher.Limit(id)
	}
	a.mu.Unlock()
	for i, id := range changed {
		a.logLimit(id, limits[i], limitFromPeer)
	}
}

// recordLimit records the rate limit that an upstream stated in an answer.
func (a *Answerer) recordLimit(id string, limit dispatcher.RateLimit) {
	a.mu.Lock()
	changed := a.dispatcher.RecordLimit(time.Now(), id, limit)
	a.mu.Unlock()
	if changed {
		a.logLimit(id, limit, limitFromAnswer)
	}
}

func (a *Answerer) logLimit(id string, limit dispatcher.RateLimit, origin string) {
	a.config.Logger.WithFields(logrus.Fields{
		"upstream": id, "stated": limit.Stated, "per-second": limit.PerSecond, "origin": origin,
	}).Info("rate limit of an upstream changed")
}
