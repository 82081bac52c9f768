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
	// recordTick is a quarter of the recorder's heartbeat interval.
	recordTick = 100 * time.Millisecond
	// recordBatch bounds the calls that share one synced write.
	recordBatch = 256
	// recordQueue bounds the calls that wait for the loop; further ones wait in their connection.
	recordQueue = 1024
)

// recordHost is what the booking records need of the controller they run in.
type recordHost interface {
	Propose(ctx context.Context, command promoter.Command) (promoter.Outcome, error)
	Read(visit func(state *promoter.Promoter))
	Changed() <-chan struct{}
	MemberID() string
	AddressOf(member string) (netip.AddrPort, bool)
	// Retired returns those of the members that the agreement replaced because their disks were lost.
	Retired(members []string) []string
}

// recordsConfig holds the settings of the booking records; Recorder may set bounds other than the defaults.
type recordsConfig struct {
	Host     recordHost
	Zone     string
	Open     func() (recordStore, error)
	Pool     *messenger.Pool
	Logger   logrus.FieldLogger
	Recorder recorder.Config
}

// recordInput is one message for the loop; answer is set for a call.
type recordInput struct {
	message recorder.Message
	answer  chan recorder.Reply
}

// records runs this controller's member of the record group of its availability zone.
type records struct {
	config    recordsConfig
	disk      *recordsDisk
	inputs    chan recordInput
	stopped   chan struct{}
	proposing atomic.Bool
	member    *recorder.Recorder
	peers     *recordPeers
	metrics   *recordMetrics
	answers   map[uint64]chan recorder.Reply
	token     uint64
}

func newRecords(config recordsConfig) *records {
	return &records{
		config:  config,
		inputs:  make(chan recordInput, recordQueue),
		stopped: make(chan struct{}),
		metrics: newRecordMetrics(),
		answers: map[uint64]chan recorder.Reply{},
	}
}

// register adds the methods of gateways and of other members.
func (r *records) register(methods *methods) {
	handler := recordserver.NewHandler(r)
	for _, name := range recordserver.Methods() {
		methods.register(name, handler.MethodHandler(name))
	}
}

// run works until the context is cancelled; a failed write ends it at once, with no reply to what was not written.
func (r *records) run(ctx context.Context) (err error) {
	defer close(r.stopped)
	opened, err := r.config.Open()
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, opened.Close()) }()
	r.disk = &recordsDisk{store: opened}
	if err := r.restore(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	r.peers = newRecordPeers(ctx, r.config)
	defer r.peers.wait()
	defer cancel()
	return r.loop(ctx)
}

func (r *records) restore() error {
	owner, state, err := r.disk.load(r.config.Host.MemberID())
	if err != nil {
		return err
	}
	settings := r.config.Recorder
	settings.MemberID = owner.Member
	settings.Initial = owner.Initial
	settings.Zone = r.config.Zone
	settings.Restored = state
	r.member = recorder.New(settings)
	return nil
}

func (r *records) loop(ctx context.Context) error {
	ticker := time.NewTicker(recordTick)
	defer ticker.Stop()
	for {
		changed := r.config.Host.Changed()
		if err := r.perform(ctx, r.installAgreed()); err != nil {
			return err
		}
		if err := r.work(ctx, ticker, changed); err != nil || ctx.Err() != nil {
			return err
		}
	}
}

// work handles inputs until the agreed state changes or the context ends.
func (r *records) work(ctx context.Context, ticker *time.Ticker, changed <-chan struct{}) error {
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
			effects = r.takeBatch(input)
		}
		if err := r.perform(ctx, effects); err != nil {
			return err
		}
	}
}

// tick also takes over what the agreement says of lost disks, because that does not show as a change of its state.
func (r *records) tick() []recorder.Effect {
	r.metrics.show(r.member)
	effects := r.member.Step(time.Now(), recorder.Retire{Members: r.config.Host.Retired(r.member.View().Members)})
	return append(effects, r.member.Tick(time.Now())...)
}

// takeBatch steps through the inputs that wait, so that they share one synced write.
func (r *records) takeBatch(input recordInput) []recorder.Effect {
	effects := r.step(input)
	for range min(len(r.inputs), recordBatch-1) {
		effects = append(effects, r.step(<-r.inputs)...)
	}
	return effects
}

func (r *records) step(input recordInput) []recorder.Effect {
	if call, ok := input.message.(recorder.Call); ok {
		r.token++
		call.Token = r.token
		r.answers[call.Token] = input.answer
		return r.member.Step(time.Now(), call)
	}
	return r.member.Step(time.Now(), input.message)
}

func (r *records) installAgreed() []recorder.Effect {
	var view promoter.View
	known := false
	r.config.Host.Read(func(state *promoter.Promoter) {
		view, _ = state.View(r.config.Zone)
		known = state.Version() > 0
	})
	if !known {
		return nil
	}
	effects := r.member.Step(time.Now(), recorder.Install{View: recorder.View(view)})
	return append(effects, r.member.Step(time.Now(), recorder.Retire{Members: r.config.Host.Retired(view.Members)})...)
}

// perform writes first and does the rest afterwards.
func (r *records) perform(ctx context.Context, effects []recorder.Effect) error {
	if err := r.disk.write(effects); err != nil {
		return err
	}
	for _, effect := range effects {
		switch effect := effect.(type) {
		case recorder.Send:
			r.peers.send(effect.To, effect.Message)
		case recorder.Respond:
			r.metrics.reply(effect.Reply.Outcome)
			r.answers[effect.Token] <- effect.Reply
			delete(r.answers, effect.Token)
		case recorder.Propose:
			r.propose(ctx, effect)
		}
	}
	return nil
}

// Ask decides one request of a gateway.
func (r *records) Submit(ctx context.Context, request recorder.Request) (recorder.Reply, error) {
	answer := make(chan recorder.Reply, 1)
	select {
	case r.inputs <- recordInput{message: recorder.Call{Request: request}, answer: answer}:
	case <-r.stopped:
		return recorder.Reply{}, newError("ask", kindStopped, "the records stopped")
	case <-ctx.Done():
		return recorder.Reply{}, wrapError("ask", kindStopped, ctx.Err())
	}
	select {
	case reply := <-answer:
		return reply, nil
	case <-r.stopped:
		return recorder.Reply{}, newError("ask", kindStopped, "the records stopped")
	case <-ctx.Done():
		return recorder.Reply{}, wrapError("ask", kindStopped, ctx.Err())
	}
}

// Deliver passes a message of another member to the loop; when the queue is full it is dropped and comes again.
func (r *records) Deliver(message recorder.PeerMessage) {
	select {
	case r.inputs <- recordInput{message: message}:
	default:
	}
}
