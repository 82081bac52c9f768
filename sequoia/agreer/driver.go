package agreer

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"sequoiaspread.example/sequoia/replicator"
)

const (
	// tickInterval is well below the heartbeat interval of the replicator.
	tickInterval   = 25 * time.Millisecond
	inputQueueSize = 1024
	// maxInputBatch bounds the inputs whose writes share one disk sync.
	maxInputBatch = 128
)

// input is one input of the replicator: a message or a submission.
type input[C, O any] struct {
	message    replicator.Message
	submission *submission[C, O]
}

// Run drives the member until the context ends. An error means that the disk or the state machine failed, or that the
// replicated state is corrupt.
func (a *Agreer[C, O]) Run(ctx context.Context) error {
	defer a.waiting.endAll(result[O]{err: newProposeError(KindStopped, "this member is stopping")})
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
			effects = a.replicator.Tick(time.Now())
		case first := <-a.inputs:
			effects = a.stepBatch(first)
		}
		if err := a.applyEffects(effects); err != nil {
			return err
		}
		a.status.Store(ptr(a.replicator.Status()))
	}
}

// stepBatch handles the queued inputs up to a bound, so that their writes share one disk sync.
func (a *Agreer[C, O]) stepBatch(first input[C, O]) []replicator.Effect {
	effects := a.step(first)
	for range maxInputBatch {
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
		return a.replicator.Step(time.Now(), in.message)
	}
	return a.stepSubmission(in.submission)
}

// applyEffects makes all writes durable first, then performs the other effects in order. After a failed write it
// performs no other effect.
func (a *Agreer[C, O]) applyEffects(effects []replicator.Effect) error {
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
		if err := a.applyEffect(effect); err != nil {
			return err
		}
	}
	return nil
}

func (a *Agreer[C, O]) applyEffect(effect replicator.Effect) error {
	switch e := effect.(type) {
	case replicator.Send:
		a.send(e.Message)
	case replicator.Apply:
		return a.applyEntries(e.Entries)
	case replicator.Restore:
		return a.restore(e.Snapshot)
	case replicator.TakeSnapshot:
		return a.takeSnapshot(e)
	case replicator.Proposed:
		a.waiting.append(e)
	case replicator.Refused:
		a.waiting.refuse(e.Ref, result[O]{err: refusalError(e.Reason)})
	case replicator.RoleChanged:
		a.handleRoleChange(e)
	}
	return nil
}

func (a *Agreer[C, O]) handleRoleChange(e replicator.RoleChanged) {
	a.config.StateMachine.RoleChanged()
	a.waiting.forgetKeys()
	fields := logrus.Fields{"role": string(e.Role), "term": e.Term, "leader": string(e.Leader)}
	a.config.Logger.WithFields(fields).Info("consensus role changed")
}

func (a *Agreer[C, O]) send(message replicator.PeerMessage) {
	address, ok := a.MemberAddress(message.MessageHeader().To, a.replicator.Status().Membership)
	if ok {
		a.sender.send(address, message)
	}
}

// applyEntries returns the outcomes only after the whole batch is applied on this member, so that a submitter that has
// received an outcome also sees its effect.
func (a *Agreer[C, O]) applyEntries(entries []replicator.Entry) error {
	outcomes := make([]O, 0, len(entries))
	for _, entry := range entries {
		outcome, err := a.applyEntry(entry)
		if err != nil {
			return err
		}
		outcomes = append(outcomes, outcome)
	}
	if err := a.notifyBatchApplied(); err != nil {
		return err
	}
	for i, entry := range entries {
		a.waiting.resolve(entry, outcomes[i])
	}
	return nil
}

func (a *Agreer[C, O]) applyEntry(entry replicator.Entry) (O, error) {
	if entry.Kind != replicator.EntryCommand {
		return *new(O), nil
	}
	outcome, err := a.config.StateMachine.Apply(entry.Data)
	if err != nil {
		return outcome, wrapError("apply entry", KindConsensus, err)
	}
	return outcome, nil
}

func (a *Agreer[C, O]) restore(snapshot replicator.Snapshot) error {
	if err := a.config.StateMachine.Restore(snapshot.Data); err != nil {
		return wrapError("restore snapshot", KindConsensus, err)
	}
	a.waiting.endUpTo(snapshot.Index, result[O]{err: newProposeError(KindUndecided, "a snapshot replaced the log")})
	return a.notifyBatchApplied()
}

func (a *Agreer[C, O]) takeSnapshot(e replicator.TakeSnapshot) error {
	data, err := a.config.StateMachine.Snapshot()
	if err != nil {
		return wrapError("take snapshot", KindConsensus, err)
	}
	snapshot := replicator.Snapshot{Index: e.Index, Term: e.Term, Membership: e.Membership, Data: data}
	return a.applyEffects(a.replicator.Step(time.Now(), replicator.SnapshotTaken{Snapshot: snapshot}))
}

func (a *Agreer[C, O]) notifyBatchApplied() error {
	if err := a.config.StateMachine.BatchApplied(); err != nil {
		return wrapError("settle", KindConsensus, err)
	}
	return nil
}

func ptr[T any](value T) *T { return &value }
