package dispatcher

import (
	"slices"
	"time"
)

// maxSendDelay is the time between the choice of an upstream and the send that coldWindow covers. A later send is counted
// anew, as after a slow connection or a pause of the process.
const maxSendDelay = coldWindow - time.Second

// ConfirmSend reports whether a request may be sent now to the upstream that was chosen for it. Between the choice and the
// send, the upstream may have become cold.
func (d *Dispatcher) ConfirmSend(now time.Time, id, request string) bool {
	u, ok := d.find(id)
	if !ok {
		return true
	}
	sent, ok := u.inFlight[request]
	suspectedSince := u.restart.pending(now) && u.restart.since.After(sent.sentAt)
	if !ok || now.Sub(sent.sentAt) <= maxSendDelay && !suspectedSince {
		return true
	}
	if i := slices.Index(u.sentAt, sent.sentAt); i >= 0 {
		u.sentAt = slices.Delete(u.sentAt, i, i+1)
	}
	if rate, limited := d.rate(now, u, d.limits[u.Service]); limited && !d.mayShareRate(now, u, rate) {
		return false
	}
	sent.sentAt = now
	u.inFlight[request] = sent
	u.countSend(now)
	return true
}
