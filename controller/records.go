package main

import (
	"context"
	"errors"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"sequoiaspread.example/sequoia/messenger"
	"sequoiaspread.example/sequoia/promoter"
	"sequoiaspread.example/sequoia/recorder"
	"sequoiaspread.example/sequoia/recordserver"
)

const (
	// recordTickInterval is a quarter of the recorder's heartbeat interval.
	recordTickInterval = 100 * time.Millisecond
	// maxRecordBatch is the maximum number of inputs that share one synced write.
	maxRecordBatch = 256
	// recordQueueLength is the capacity of the input queue; when it is full, further calls block in their connections.
	recordQueueLength = 1024
)

// recordHost is the part of the controller that the idempotency records depend on.
type recordHost interface {
	Propose(ctx context.Context, command promoter.Command) (promoter.Outcome, error)
	Read(visit func(state *promoter.Promoter))
	Changed() <-chan struct{}
	MemberID() string
	AddressOf(member string) (netip.AddrPort, bool)
	// Retired returns those of the given members that the consensus group has retired, for example after a lost disk.
	Retired(members []string) []string
}

// recordsConfig configures a recordMember; Recorder may override the recorder's default limits.
type recordsConfig struct {
	Host     recordHost
	Zone     string
	Open     func() (recordStore, error)
	Pool     *messenger.Pool
	Logger   logrus.FieldLogger
	Recorder recorder.Config
}

// recordInput is one message for the loop; reply is set only for calls.
type recordInput struct {
	message recorder.Message
	reply   chan recorder.Reply
}

// recordMember runs this controller's member of the record group of its availability zone. Only the loop goroutine
// uses the recorder and the pending calls.
type recordMember struct {
	config       recordsConfig
	disk         *recordsDisk
	inputs       chan recordInput
	stopped      chan struct{}
	proposing    atomic.Bool
	recorder     *recorder.Recorder
	peers        *recordPeers
	metrics      *recordMetrics
	pendingCalls map[uint64]chan recorder.Reply
	lastToken    uint64
}

func newRecordMember(config recordsConfig) *recordMember {
	return &recordMember{
		config:       config,
		inputs:       make(chan recordInput, recordQueueLength),
		stopped:      make(chan struct{}),
		metrics:      newRecordMetrics(),
		pendingCalls: map[uint64]chan recorder.Reply{},
	}
}

// register adds the methods that gateways and other members call.
func (r *recordMember) register(table *methodTable) {
	handler := recordserver.NewHandler(r)
	for _, name := range recordserver.Methods() {
		table.register(name, handler.MethodHandler(name))
	}
}

// run blocks until the context is cancelled. A failed write ends it immediately, and calls whose records were not
// written get no reply.
func (r *recordMember) run(ctx context.Context) (err error) {
	defer close(r.stopped)
	store, err := r.config.Open()
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, store.Close()) }()
	r.disk = &recordsDisk{store: store}
	if err := r.restore(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	r.peers = newRecordPeers(ctx, r.config)
	defer r.peers.wait()
	defer cancel()
	return r.loop(ctx)
}

func (r *recordMember) restore() error {
	owner, state, err := r.disk.load(r.config.Host.MemberID())
	if err != nil {
		return err
	}
	settings := r.config.Recorder
	settings.MemberID = owner.Member
	settings.Initial = owner.Initial
	settings.Zone = r.config.Zone
	settings.Restored = state
	r.recorder = recorder.New(settings)
	return nil
}

func (r *recordMember) loop(ctx context.Context) error {
	ticker := time.NewTicker(recordTickInterval)
	defer ticker.Stop()
	for {
		changed := r.config.Host.Changed()
		if err := r.applyEffects(ctx, r.installCommittedView()); err != nil {
			return err
		}
		if err := r.processInputs(ctx, ticker, changed); err != nil || ctx.Err() != nil {
			return err
		}
	}
}

// processInputs handles inputs until the replicated state changes or the context is cancelled.
func (r *recordMember) processInputs(ctx context.Context, ticker *time.Ticker, changed <-chan struct{}) error {
	for {
		var effects []recorder.Effect
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
			return nil
		case <-ticker.C:
			effects = r.tick()
		case input := <-r.inputs:
			effects = r.stepBatch(input)
		}
		if err := r.applyEffects(ctx, effects); err != nil {
			return err
		}
	}
}

// tick also passes on which members the consensus group has retired, because a membership change does not close the
// Changed channel.
func (r *recordMember) tick() []recorder.Effect {
	r.metrics.update(r.recorder)
	effects := r.recorder.Step(time.Now(), recorder.Retire{Members: r.config.Host.Retired(r.recorder.View().Members)})
	return append(effects, r.recorder.Tick(time.Now())...)
}

// stepBatch handles an input together with the queued ones, so that they share one synced write.
func (r *recordMember) stepBatch(input recordInput) []recorder.Effect {
	effects := r.step(input)
	for range min(len(r.inputs), maxRecordBatch-1) {
		effects = append(effects, r.step(<-r.inputs)...)
	}
	return effects
}

func (r *recordMember) step(input recordInput) []recorder.Effect {
	if call, ok := input.message.(recorder.Call); ok {
		r.lastToken++
		call.Token = r.lastToken
		r.pendingCalls[call.Token] = input.reply
		return r.recorder.Step(time.Now(), call)
	}
	return r.recorder.Step(time.Now(), input.message)
}

func (r *recordMember) installCommittedView() []recorder.Effect {
	var view promoter.View
	initialised := false
	r.config.Host.Read(func(state *promoter.Promoter) {
		view, _ = state.View(r.config.Zone)
		initialised = state.Version() > 0
	})
	if !initialised {
		return nil
	}
	effects := r.recorder.Step(time.Now(), recorder.Install{View: recorder.View(view)})
	return append(effects, r.recorder.Step(time.Now(), recorder.Retire{Members: r.config.Host.Retired(view.Members)})...)
}

// applyEffects makes all records durable before it sends messages, replies to calls or proposes views.
func (r *recordMember) applyEffects(ctx context.Context, effects []recorder.Effect) error {
	if err := r.disk.write(effects); err != nil {
		return err
	}
	for _, effect := range effects {
		switch effect := effect.(type) {
		case recorder.Send:
			r.peers.send(effect.To, effect.Message)
		case recorder.Respond:
			r.metrics.countReply(effect.Reply.Outcome)
			r.pendingCalls[effect.Token] <- effect.Reply
			delete(r.pendingCalls, effect.Token)
		case recorder.Propose:
			r.propose(ctx, effect)
		}
	}
	return nil
}

// Submit passes one request of a gateway to the recorder and waits for its reply.
func (r *recordMember) Submit(ctx context.Context, request recorder.Request) (recorder.Reply, error) {
	replyChannel := make(chan recorder.Reply, 1)
	select {
	case r.inputs <- recordInput{message: recorder.Call{Request: request}, reply: replyChannel}:
	case <-r.stopped:
		return recorder.Reply{}, newError("ask", kindStopped, "the records stopped")
	case <-ctx.Done():
		return recorder.Reply{}, wrapError("ask", kindStopped, ctx.Err())
	}
	select {
	case reply := <-replyChannel:
		return reply, nil
	case <-r.stopped:
		return recorder.Reply{}, newError("ask", kindStopped, "the records stopped")
	case <-ctx.Done():
		return recorder.Reply{}, wrapError("ask", kindStopped, ctx.Err())
	}
}

// Deliver queues a message of another member for the loop; it drops the message if the queue is full, because the
// sender retransmits it.
func (r *recordMember) Deliver(message recorder.PeerMessage) {
	select {
	case r.inputs <- recordInput{message: message}:
	default:
	}
}
