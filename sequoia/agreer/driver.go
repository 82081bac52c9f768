package agreer

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"sequoiaspread.example/sequoia/replicator"
)

const (
	// tickInterval is well below the heartbeat interval of the agreement.
	tickInterval = 25 * time.Millisecond
	inputQueue   = 1024
	// inputBatch bounds the inputs whose writes share one sync of the disk.
	inputBatch = 128
)

// result is what became of a submission.
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

// input is one thing to feed to the agreement: a message or a submission.
type input[C, O any] struct {
	message    replicator.Message
	submission *submission[C, O]
}

// waiter is a submission that was appended at an index of the log.
type waiter[O any] struct {
	term uint64
	done chan result[O]
}

// Run works until the context ends; an error means that the disk or the agreed state cannot be trusted.
func (a *Agreer[C, O]) Run(ctx context.Context) error {
	defer a.failAll()
	defer a.sender.wait()
	defer a.stopSending()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		var effects []replicator.Effect
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			effects = a.agreed.Tick(time.Now())
		case first := <-a.inputs:
			effects = a.feed(first)
		}
		if err := a.perform(effects); err != nil {
			return err
		}
		a.status.Store(ptr(a.agreed.Status()))
	}
}

// feed steps through the inputs that wait, so that their writes share one sync.
func (a *Agreer[C, O]) feed(first input[C, O]) []replicator.Effect {
	effects := a.step(first)
	for range inputBatch {
		select {
		case next := <-a.inputs:
			effects = append(effects, a.step(next)...)
		default:
			return effects
		}
	}
	return effects
}

func (a *Agreer[C, O]) step(in input[C, O]) []replicator.Effect {
	if in.submission == nil {
		return a.agreed.Step(time.Now(), in.message)
	}
	a.nextRef++
	message, err := a.messageOf(in.submission, a.nextRef)
	if err != nil {
		in.submission.done <- result[O]{err: err}
		return nil
	}
	a.unplaced[a.nextRef] = in.submission.done
	return a.agreed.Step(time.Now(), message)
}

func (a *Agreer[C, O]) messageOf(s *submission[C, O], ref uint64) (replicator.Message, error) {
	if s.command == nil {
		return s.change(ref), nil
	}
	data, err := a.config.StateMachine.Encode(*s.command)
	if err != nil {
		return nil, wrapError("propose", KindRefused, err)
	}
	return replicator.Propose{Ref: ref, Data: data}, nil
}

// perform makes all writes durable first, then does the rest in order. After a failed write nothing is done.
func (a *Agreer[C, O]) perform(effects []replicator.Effect) error {
	var saves []replicator.Save
	for _, effect := range effects {
		switch e := effect.(type) {
		case replicator.Save:
			saves = append(saves, e)
		case replicator.Halt:
			return wrapError("agreement", KindConsensus, e.Reason)
		}
	}
	if err := a.config.Disk.save(saves); err != nil {
		return err
	}
	for _, effect := range effects {
		if err := a.performOne(effect); err != nil {
			return err
		}
	}
	return nil
}

func (a *Agreer[C, O]) performOne(effect replicator.Effect) error {
	switch e := effect.(type) {
	case replicator.Send:
		a.send(e.Message)
	case replicator.Apply:
		return a.apply(e.Entries)
	case replicator.Restore:
		return a.restore(e.Snapshot)
	case replicator.TakeSnapshot:
		return a.takeSnapshot(e)
	case replicator.Proposed:
		a.placed[e.Index] = waiter[O]{term: e.Term, done: a.unplaced[e.Ref]}
		delete(a.unplaced, e.Ref)
	case replicator.Refused:
		a.unplaced[e.Ref] <- result[O]{err: refusal(e.Reason)}
		delete(a.unplaced, e.Ref)
	case replicator.RoleChanged:
		a.changeRole(e)
	}
	return nil
}

func refusal(reason *replicator.Error) error {
	if reason.Kind == replicator.KindNotLeader || reason.Kind == replicator.KindBusy {
		return wrapError("propose", KindNotLeader, reason)
	}
	return wrapError("propose", KindRefused, reason)
}

func (a *Agreer[C, O]) changeRole(e replicator.RoleChanged) {
	a.config.StateMachine.RoleChanged()
	fields := logrus.Fields{"role": string(e.Role), "term": e.Term, "leader": string(e.Leader)}
	a.config.Logger.WithFields(fields).Info("role in the agreement changed")
}

func (a *Agreer[C, O]) send(message replicator.PeerMessage) {
	address, ok := a.MemberAddress(message.MessageHeader().To, a.agreed.Status().Membership)
	if ok {
		a.sender.send(address, message)
	}
}

// apply answers only after the state is in force here, so that one who got an outcome sees its effect.
func (a *Agreer[C, O]) apply(entries []replicator.Entry) error {
	outcomes := make([]O, 0, len(entries))
	for _, entry := range entries {
		outcome, err := a.applyOne(entry)
		if err != nil {
			return err
		}
		outcomes = append(outcomes, outcome)
	}
	if err := a.settle(); err != nil {
		return err
	}
	for i, entry := range entries {
		a.answer(entry, outcomes[i])
	}
	return nil
}

func (a *Agreer[C, O]) applyOne(entry replicator.Entry) (O, error) {
	if entry.Kind != replicator.EntryCommand {
		return *new(O), nil
	}
	outcome, err := a.config.StateMachine.Apply(entry.Data)
	if err != nil {
		return outcome, wrapError("apply entry", KindConsensus, err)
	}
	return outcome, nil
}

// answer gives the outcome to the one who waits, unless another leader put another entry at the index.
func (a *Agreer[C, O]) answer(entry replicator.Entry, outcome O) {
	waiting, ok := a.placed[entry.Index]
	if !ok {
		return
	}
	delete(a.placed, entry.Index)
	if waiting.term != entry.Term {
		waiting.done <- result[O]{err: notProposed(KindUndecided, "another leader took over")}
		return
	}
	waiting.done <- result[O]{outcome: outcome}
}

func (a *Agreer[C, O]) restore(snapshot replicator.Snapshot) error {
	if err := a.config.StateMachine.Restore(snapshot.Data); err != nil {
		return wrapError("restore snapshot", KindConsensus, err)
	}
	for index, waiting := range a.placed {
		if index <= snapshot.Index {
			waiting.done <- result[O]{err: notProposed(KindUndecided, "a snapshot replaced the log")}
			delete(a.placed, index)
		}
	}
	return a.settle()
}

func (a *Agreer[C, O]) takeSnapshot(e replicator.TakeSnapshot) error {
	data, err := a.config.StateMachine.Snapshot()
	if err != nil {
		return wrapError("take snapshot", KindConsensus, err)
	}
	snapshot := replicator.Snapshot{Index: e.Index, Term: e.Term, Membership: e.Membership, Data: data}
	return a.perform(a.agreed.Step(time.Now(), replicator.SnapshotTaken{Snapshot: snapshot}))
}

func (a *Agreer[C, O]) settle() error {
	if err := a.config.StateMachine.BatchApplied(); err != nil {
		return wrapError("settle", KindConsensus, err)
	}
	return nil
}

// failAll tells everyone who waits that the outcome is not known.
func (a *Agreer[C, O]) failAll() {
	stopped := result[O]{err: notProposed(KindStopped, "this member is stopping")}
	for _, done := range a.unplaced {
		done <- stopped
	}
	for _, waiting := range a.placed {
		waiting.done <- stopped
	}
}

func ptr[T any](value T) *T { return &value }
