package main

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"sequoiaspread.example/sequoia/enforcer"
	"sequoiaspread.example/sequoia/promoter"
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
type result struct {
	outcome promoter.Outcome
	err     error
}

// submission is a command or a membership change that waits for its outcome.
type submission struct {
	command *promoter.Command
	change  func(ref uint64) replicator.Message
	done    chan result
}

// input is one thing for the driver to feed to the agreement: a message or a submission.
type input struct {
	message    replicator.Message
	submission *submission
}

// waiter is a submission that was appended at an index of the log.
type waiter struct {
	term uint64
	done chan result
}

// driver feeds the agreement from one goroutine and performs its effects.
type driver struct {
	node     *node
	agreed   *replicator.Replicator
	disk     *disk
	sender   *sender
	logger   logrus.FieldLogger
	inputs   chan input
	nextRef  uint64
	unplaced map[uint64]chan result
	placed   map[uint64]waiter
	// lastCommand is when this member, as the leader, stamped a command; it is zero at the start of a leadership.
	lastCommand time.Time
}

func newDriver(n *node, agreed *replicator.Replicator, disk *disk, sender *sender) *driver {
	return &driver{
		node: n, agreed: agreed, disk: disk, sender: sender, logger: n.logger,
		inputs: make(chan input, inputQueue), unplaced: map[uint64]chan result{}, placed: map[uint64]waiter{},
	}
}

// run works until the context ends; an error means that the disk or the agreed state cannot be trusted.
func (d *driver) run(ctx context.Context) error {
	defer d.failAll()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		var effects []replicator.Effect
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			effects = d.agreed.Tick(time.Now())
		case first := <-d.inputs:
			effects = d.feed(first)
		}
		if err := d.perform(effects); err != nil {
			return err
		}
		d.node.setStatus(d.agreed.Status())
	}
}

// feed steps through the inputs that wait, so that their writes share one sync.
func (d *driver) feed(first input) []replicator.Effect {
	effects := d.step(first)
	for range inputBatch {
		select {
		case next := <-d.inputs:
			effects = append(effects, d.step(next)...)
		default:
			return effects
		}
	}
	return effects
}

func (d *driver) step(in input) []replicator.Effect {
	if in.submission == nil {
		return d.agreed.Step(time.Now(), in.message)
	}
	d.nextRef++
	message, err := d.messageOf(in.submission, d.nextRef)
	if err != nil {
		in.submission.done <- result{err: err}
		return nil
	}
	d.unplaced[d.nextRef] = in.submission.done
	return d.agreed.Step(time.Now(), message)
}

func (d *driver) messageOf(s *submission, ref uint64) (replicator.Message, error) {
	if s.command == nil {
		return s.change(ref), nil
	}
	command := *s.command
	if command.StartEpoch != nil && !d.allRetired(command.StartEpoch.Lost) {
		return nil, newError("propose", kindRefused, "a member named as lost still belongs to the agreement")
	}
	command.Elapsed = d.sinceLastCommand()
	data, err := promoter.Encode(command)
	if err != nil {
		return nil, wrapError("propose", kindRefused, err)
	}
	return replicator.Propose{Ref: ref, Data: data}, nil
}

// allRetired reports whether the agreement replaced or removed all members; a retired id never comes back.
func (d *driver) allRetired(members []string) bool {
	membership := d.agreed.Status().Membership
	return !slices.ContainsFunc(members, func(id string) bool { return !membership.IsRetired(replicator.MemberID(id)) })
}

// sinceLastCommand measures by the monotonic clock, so that a step of the wall clock cannot expire outcomes.
func (d *driver) sinceLastCommand() time.Duration {
	now := time.Now()
	elapsed := time.Duration(0)
	if !d.lastCommand.IsZero() {
		elapsed = max(0, now.Sub(d.lastCommand))
	}
	d.lastCommand = now
	return elapsed
}

// perform makes all writes durable first, then does the rest in order. After a failed write nothing is done.
func (d *driver) perform(effects []replicator.Effect) error {
	var saves []replicator.Save
	for _, effect := range effects {
		switch e := effect.(type) {
		case replicator.Save:
			saves = append(saves, e)
		case replicator.Halt:
			return wrapError("agreement", kindAgreement, e.Reason)
		}
	}
	if err := d.disk.save(saves); err != nil {
		return err
	}
	for _, effect := range effects {
		if err := d.performOne(effect); err != nil {
			return err
		}
	}
	return nil
}

func (d *driver) performOne(effect replicator.Effect) error {
	switch e := effect.(type) {
	case replicator.Send:
		d.send(e.Message)
	case replicator.Apply:
		return d.apply(e.Entries)
	case replicator.Restore:
		return d.restore(e.Snapshot)
	case replicator.TakeSnapshot:
		return d.takeSnapshot(e)
	case replicator.Proposed:
		d.placed[e.Index] = waiter{term: e.Term, done: d.unplaced[e.Ref]}
		delete(d.unplaced, e.Ref)
	case replicator.Refused:
		d.unplaced[e.Ref] <- result{err: refusal(e.Reason)}
		delete(d.unplaced, e.Ref)
	case replicator.RoleChanged:
		d.changeRole(e)
	}
	return nil
}

func refusal(reason *replicator.Error) error {
	if reason.Kind == replicator.KindNotLeader || reason.Kind == replicator.KindBusy {
		return wrapError("propose", kindNotLeader, reason)
	}
	return wrapError("propose", kindRefused, reason)
}

func (d *driver) changeRole(e replicator.RoleChanged) {
	d.lastCommand = time.Time{}
	fields := logrus.Fields{"role": string(e.Role), "term": e.Term, "leader": string(e.Leader)}
	d.logger.WithFields(fields).Info("role in the agreement changed")
}

func (d *driver) send(message replicator.PeerMessage) {
	address, ok := d.node.addressOf(message.Head().To, d.agreed.Status().Membership)
	if ok {
		d.sender.send(address, message)
	}
}

// apply answers only after the document is in force here, so that one who got an outcome sees its effect.
func (d *driver) apply(entries []replicator.Entry) error {
	outcomes := make([]promoter.Outcome, 0, len(entries))
	for _, entry := range entries {
		outcome, err := d.applyOne(entry)
		if err != nil {
			return err
		}
		outcomes = append(outcomes, outcome)
	}
	if err := d.enforce(); err != nil {
		return err
	}
	for i, entry := range entries {
		d.answer(entry, outcomes[i])
	}
	return nil
}

func (d *driver) applyOne(entry replicator.Entry) (promoter.Outcome, error) {
	if entry.Kind != replicator.EntryCommand {
		return promoter.Outcome{Result: promoter.ResultAccepted}, nil
	}
	command, err := promoter.Decode(entry.Data)
	if err != nil {
		return promoter.Outcome{}, wrapError("apply entry", kindAgreement, err)
	}
	return d.node.apply(command), nil
}

// answer gives the outcome to the one who waits, unless another leader put another entry at the index.
func (d *driver) answer(entry replicator.Entry, outcome promoter.Outcome) {
	waiting, ok := d.placed[entry.Index]
	if !ok {
		return
	}
	delete(d.placed, entry.Index)
	if waiting.term != entry.Term {
		waiting.done <- result{err: newError("propose", kindUndecided, "another leader took over")}
		return
	}
	waiting.done <- result{outcome: outcome}
}

func (d *driver) restore(snapshot replicator.Snapshot) error {
	if err := d.node.restore(snapshot.Data); err != nil {
		return wrapError("restore snapshot", kindAgreement, err)
	}
	for index, waiting := range d.placed {
		if index <= snapshot.Index {
			waiting.done <- result{err: newError("propose", kindUndecided, "a snapshot replaced the log")}
			delete(d.placed, index)
		}
	}
	return d.enforce()
}

func (d *driver) takeSnapshot(e replicator.TakeSnapshot) error {
	data, err := d.node.snapshot()
	if err != nil {
		return wrapError("take snapshot", kindAgreement, err)
	}
	snapshot := replicator.Snapshot{Index: e.Index, Term: e.Term, Membership: e.Membership, Data: data}
	return d.perform(d.agreed.Step(time.Now(), replicator.SnapshotTaken{Snapshot: snapshot}))
}

// enforce puts the agreed document in force, durably before it is served.
func (d *driver) enforce() error {
	text, version := d.node.agreedDocument()
	if version <= d.node.enforcedVersion() {
		return nil
	}
	document := enforcer.Document{Version: version, Text: text}
	if err := d.disk.saveEnforced(document); err != nil {
		return err
	}
	return d.node.enforce(document)
}

// failAll tells everyone who waits that the outcome is not known.
func (d *driver) failAll() {
	stopped := result{err: newError("propose", kindStopped, "the controller is stopping")}
	for _, done := range d.unplaced {
		done <- stopped
	}
	for _, waiting := range d.placed {
		waiting.done <- stopped
	}
}
