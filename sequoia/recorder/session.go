package recorder

import (
	"fmt"
	"time"
)

// openSession issues a session. Its name cannot come twice in an epoch, because reign and sequence number are in it.
func (r *Recorder) openSession(now time.Time, token uint64, s Session) {
	if r.table.sessions >= r.config.MaxSessions {
		r.reply(now, token, Reply{Outcome: OutcomeRefused, Hint: hintSessions, Retry: retryFull}, 0)
		return
	}
	name := fmt.Sprintf("%x-%x", r.meta.Term, r.meta.Applied+1)
	session := &OpenSession{Organisation: s.Organisation, Name: name, Issued: r.retainedFrom(now)}
	seq := r.write(Entry{ID: sessionID(s.Organisation, name), Session: session})
	prefix := sessionPrefix(r.meta.View.Zone, r.meta.View.Epoch, name)
	r.reply(now, token, Reply{Outcome: OutcomeOpened, Session: prefix, Expires: session.Issued.Add(r.config.SessionLifetime)}, seq)
}
