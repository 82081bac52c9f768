package recorder

import (
	"fmt"
	"time"
)

// handleSession opens a session. Its name is unique within an epoch, because it contains the term and the sequence
// number.
func (r *Recorder) handleSession(now time.Time, token uint64, s Session) {
	if r.table.sessions >= r.config.MaxSessions {
		r.replyWhenSynced(now, token, Reply{Outcome: OutcomeRefused, Hint: hintSessionLimit, Retry: limitRetryDelay}, 0)
		return
	}
	name := fmt.Sprintf("%x-%x", r.meta.Term, r.meta.Applied+1)
	session := &OpenSession{Organisation: s.Organisation, Name: name, Issued: r.retentionStart(now)}
	seq := r.appendEntry(Entry{ID: sessionID(s.Organisation, name), Session: session})
	prefix := sessionPrefix(r.meta.View.Zone, r.meta.View.Epoch, name)
	r.replyWhenSynced(now, token, Reply{Outcome: OutcomeOpened, Session: prefix, Expires: session.Issued.Add(r.config.SessionLifetime)}, seq)
}
