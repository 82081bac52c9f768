package agreer

import (
	"math"
	"time"

	"sequoiaspread.example/sequoia/replicator"
)

// result is the result of a submission.
type result[O any] struct {
	outcome O
	err     error
}

// submission is a command or a membership change that waits for its outcome.
type submission[C, O any] struct {
	command *C
	change  func(ref uint64) replicator.Message
	done    chan result[O]
}

// waiter holds the submissions that wait for one entry; term is 0 until the entry is appended.
type waiter[O any] struct {
	key  string
	term uint64
	done []chan result[O]
}

func (w *waiter[O]) end(with result[O]) {
	for _, done := range w.done {
		done <- with
	}
}

// waiting holds the submissions without an outcome.
type waiting[O any] struct {
	// proposed holds those that the replicator has neither appended nor refused, by their ref.
	proposed map[uint64]*waiter[O]
	// appended holds those that wait for their entry to be committed, by its index.
	appended map[uint64]*waiter[O]
	// byKey holds those that others may join.
	byKey map[string]*waiter[O]
}

func newWaiting[O any]() waiting[O] {
	return waiting[O]{proposed: map[uint64]*waiter[O]{}, appended: map[uint64]*waiter[O]{}, byKey: map[string]*waiter[O]{}}
}

func (w *waiting[O]) propose(ref uint64, key string, done chan result[O]) {
	added := &waiter[O]{key: key, done: []chan result[O]{done}}
	w.proposed[ref] = added
	if key != "" {
		w.byKey[key] = added
	}
}

// join adds a submission to the one with the same key, and reports whether there is one of the term that a leader is in.
func (w *waiting[O]) join(key string, term uint64, done chan result[O]) bool {
	known, ok := w.byKey[key]
	if !ok || known.term != 0 && known.term != term {
		return false
	}
	known.done = append(known.done, done)
	return true
}

func (w *waiting[O]) append(e replicator.Proposed) {
	appended := w.proposed[e.Ref]
	delete(w.proposed, e.Ref)
	appended.term = e.Term
	w.appended[e.Index] = appended
}

func (w *waiting[O]) refuse(ref uint64, with result[O]) {
	refused := w.proposed[ref]
	delete(w.proposed, ref)
	w.end(refused, with)
}

// resolve sends the outcome to the submitters, unless another leader has overwritten the entry at this index.
func (w *waiting[O]) resolve(entry replicator.Entry, outcome O) {
	resolved, ok := w.appended[entry.Index]
	if !ok {
		return
	}
	delete(w.appended, entry.Index)
	if resolved.term != entry.Term {
		w.end(resolved, result[O]{err: newProposeError(KindUndecided, "another leader took over")})
		return
	}
	w.end(resolved, result[O]{outcome: outcome})
}

// endUpTo ends the submissions whose entries have an index up to the given one.
func (w *waiting[O]) endUpTo(index uint64, with result[O]) {
	for each, ended := range w.appended {
		if each <= index {
			delete(w.appended, each)
			w.end(ended, with)
		}
	}
}

// endAll ends all submissions.
func (w *waiting[O]) endAll(with result[O]) {
	for ref := range w.proposed {
		w.refuse(ref, with)
	}
	w.endUpTo(math.MaxUint64, with)
}

func (w *waiting[O]) end(ended *waiter[O], with result[O]) {
	if w.byKey[ended.key] == ended {
		delete(w.byKey, ended.key)
	}
	ended.end(with)
}

// forgetKeys makes later submissions wait for entries of their own, since those of another term may be overwritten.
func (w *waiting[O]) forgetKeys() {
	clear(w.byKey)
}

// stepSubmission answers a command whose effect is contained in the state, joins one to a submission with the same key,
// and proposes any other.
func (a *Agreer[C, O]) stepSubmission(s *submission[C, O]) []replicator.Effect {
	if outcome, ok := a.contained(s); ok {
		s.done <- result[O]{outcome: outcome}
		return nil
	}
	key := a.keyOf(s)
	if key != "" && a.joinWaiting(key, s.done) {
		return nil
	}
	a.nextRef++
	message, err := a.buildMessage(s, a.nextRef)
	if err != nil {
		s.done <- result[O]{err: err}
		return nil
	}
	a.waiting.propose(a.nextRef, key, s.done)
	return a.replicator.Step(time.Now(), message)
}

func (a *Agreer[C, O]) contained(s *submission[C, O]) (O, bool) {
	if s.command == nil || a.config.Contained == nil {
		return *new(O), false
	}
	return a.config.Contained(*s.command)
}

func (a *Agreer[C, O]) keyOf(s *submission[C, O]) string {
	if s.command == nil || a.config.Key == nil {
		return ""
	}
	return a.config.Key(*s.command)
}

func (a *Agreer[C, O]) joinWaiting(key string, done chan result[O]) bool {
	status := a.replicator.Status()
	return status.Role == replicator.RoleLeader && a.waiting.join(key, status.Term, done)
}

func (a *Agreer[C, O]) buildMessage(s *submission[C, O], ref uint64) (replicator.Message, error) {
	if s.command == nil {
		return s.change(ref), nil
	}
	data, err := a.config.StateMachine.Encode(*s.command)
	if err != nil {
		return nil, wrapError("propose", KindRefused, err)
	}
	return replicator.Propose{Ref: ref, Data: data}, nil
}

func refusalError(reason *replicator.Error) error {
	if reason.Kind == replicator.KindNotLeader || reason.Kind == replicator.KindBusy {
		return wrapError("propose", KindNotLeader, reason)
	}
	return wrapError("propose", KindRefused, reason)
}
