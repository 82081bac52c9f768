package answerer

import (
	"time"

	"github.com/sirupsen/logrus"

	"sequoiaspread.example/sequoia/dispatcher"
	"sequoiaspread.example/sequoia/forwarder"
)

// fromConnection is the origin of what a connection showed of an upstream, for the log.
const fromConnection = "connection"

// suspectRestart records that a connection to an upstream broke which had worked at a time.
func (a *Answerer) suspectRestart(id string, workedAt time.Time) {
	a.mu.Lock()
	begins := a.dispatcher.SuspectRestart(time.Now(), id, workedAt)
	a.mu.Unlock()
	if begins {
		a.logSuspicion(id, fromConnection)
	}
}

// recordContact records the answer of an upstream.
func (a *Answerer) recordContact(id string, response *forwarder.Response) {
	a.mu.Lock()
	refuted := a.dispatcher.RecordContact(time.Now(), id, dispatcher.Contact{ConnectedAt: response.ConnectedAt, AskedAt: response.SentAt})
	if refuted {
		a.notifyWaiters()
	}
	a.mu.Unlock()
	if refuted {
		a.config.Logger.WithField("upstream", id).Info("upstream has not restarted")
	}
}

// errNotPermitted means that the upstream which was chosen for a request has become cold before it was sent.
var errNotPermitted = newError("send", KindLimited, "the upstream takes no more requests now")

// confirmSend returns an error if a request may no longer be sent to the upstream that was chosen for it. An idle
// connection that the upstream closed before its time, after it was used last at closedUsedAt, is a sign of a restart.
func (a *Answerer) confirmSend(upstream, request string, closedUsedAt time.Time) error {
	if !closedUsedAt.IsZero() {
		a.suspectRestart(upstream, closedUsedAt)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.dispatcher.ConfirmSend(time.Now(), upstream, request) {
		return errNotPermitted
	}
	return nil
}

func (a *Answerer) logSuspicion(id, origin string) {
	a.config.Logger.WithFields(logrus.Fields{"upstream": id, "origin": origin}).Info("upstream may have restarted")
}
