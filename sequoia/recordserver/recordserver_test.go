package recordserver

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"sequoiaspread.example/sequoia/messenger"
	"sequoiaspread.example/sequoia/recorder"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

func discardLogger() logrus.FieldLogger {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return logger
}

// fakeMember replies from a list and records the requests and messages that it receives.
type fakeMember struct {
	mu       sync.Mutex
	replies  []recorder.Reply
	requests []recorder.Request
	inbox    []recorder.PeerMessage
}

func (f *fakeMember) Submit(_ context.Context, request recorder.Request) (recorder.Reply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requests = append(f.requests, request)
	reply := f.replies[0]
	f.replies = f.replies[1:]
	return reply, nil
}

func (f *fakeMember) Deliver(message recorder.PeerMessage) { f.inbox = append(f.inbox, message) }

func serve(t *testing.T, member Member) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := messenger.NewServer(messenger.ServerConfig{Handler: NewHandler(member), Logger: discardLogger()})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.Serve(ctx, listener) }()
	t.Cleanup(func() { cancel(); assert.NilError(t, <-done) })
	return netip.MustParseAddrPort(listener.Addr().String())
}

func newPool(t *testing.T) *messenger.Pool {
	pool := messenger.NewPool(messenger.PoolConfig{Logger: discardLogger()})
	t.Cleanup(func() { assert.NilError(t, pool.Close()) })
	return pool
}

// Guards against a field that is lost in the encoding between a gateway and a controller.
func TestRequestsAndRepliesRoundTrip(t *testing.T) {
	view := recorder.View{Zone: "z", Number: 3, Epoch: 2, EpochStart: time.Unix(9, 0).UTC(), Primary: "a#1", Members: []string{"a#1"}}
	permit := recorder.Permit{Zone: "z", Organisation: "o", Key: "k", Attempt: "t", Service: "s", Epoch: 2, View: 3, Lifetime: time.Minute}
	replies := []recorder.Reply{
		{Outcome: recorder.OutcomeGranted, Permit: permit, View: view},
		{Outcome: recorder.OutcomeDone, View: view, Hint: "h", Retry: time.Second},
		{Outcome: recorder.OutcomeDone, View: view},
		{Outcome: recorder.OutcomeReplay, View: view, Answer: recorder.Response{Status: 201, ContentType: "c", Body: []byte{0, 255}, Omitted: true}},
		{Outcome: recorder.OutcomeOpened, View: view, Session: "z.2.s", Expires: time.Unix(99, 0).UTC()},
	}
	member := &fakeMember{replies: append([]recorder.Reply{}, replies...)}
	address := serve(t, member)
	client := NewClient(newPool(t))
	ctx := context.Background()
	begin := recorder.Begin{Zone: "z", Organisation: "o", Key: "k", Digest: "d", Service: "s", Attempt: "t"}
	finish := permit.Finish(recorder.ResultAnswered, recorder.Response{Status: 200, ContentType: "c", Body: []byte("b")})
	lookup := recorder.Lookup{Zone: "z", Organisation: "o", Key: "k"}
	session := recorder.Session{Zone: "z", Organisation: "o"}
	calls := []func() (recorder.Reply, error){
		func() (recorder.Reply, error) { return client.Begin(ctx, address, begin) },
		func() (recorder.Reply, error) { return client.Finish(ctx, address, finish) },
		func() (recorder.Reply, error) { return client.Release(ctx, address, begin.Release()) },
		func() (recorder.Reply, error) { return client.Lookup(ctx, address, lookup) },
		func() (recorder.Reply, error) { return client.Session(ctx, address, session) },
	}
	for i, call := range calls {
		reply, err := call()
		assert.NilError(t, err)
		assert.DeepEqual(t, reply, replies[i])
	}
	assert.DeepEqual(t, member.requests, []recorder.Request{begin, finish, begin.Release(), lookup, session})
}

// Guards against a Begin that is resent with another attempt id, to the old primary, or more than once.
func TestBeginIsResentOnce(t *testing.T) {
	oldPrimary := &fakeMember{replies: []recorder.Reply{{Outcome: recorder.OutcomeNotPrimary}, {Outcome: recorder.OutcomeNotPrimary}}}
	newPrimary := &fakeMember{replies: []recorder.Reply{{Outcome: recorder.OutcomeGranted}, {Outcome: recorder.OutcomeNotPrimary}}}
	oldAddress, newAddress := serve(t, oldPrimary), serve(t, newPrimary)
	client := NewClient(newPool(t)).WithSelector(func(string) (netip.AddrPort, bool) { return newAddress, true })
	begin := recorder.Begin{Zone: "z", Attempt: "t"}
	for _, want := range []recorder.Outcome{recorder.OutcomeGranted, recorder.OutcomeNotPrimary} {
		reply, err := client.Begin(context.Background(), oldAddress, begin)
		assert.NilError(t, err)
		assert.Equal(t, reply.Outcome, want)
	}
	assert.DeepEqual(t, oldPrimary.requests, []recorder.Request{begin, begin})
	assert.DeepEqual(t, newPrimary.requests, []recorder.Request{begin, begin})
}

// Guards against a request that fails because one reply was lost, and against a failed Begin that looks like a
// decision.
func TestBeginAfterLostReply(t *testing.T) {
	unreachable := netip.MustParseAddrPort("127.0.0.1:1")
	member := &fakeMember{replies: []recorder.Reply{{Outcome: recorder.OutcomeGranted}}}
	address := serve(t, member)
	client := NewClient(newPool(t)).WithSelector(func(string) (netip.AddrPort, bool) { return address, true })
	reply, err := client.Begin(context.Background(), unreachable, recorder.Begin{})
	assert.NilError(t, err)
	assert.Equal(t, reply.Outcome, recorder.OutcomeGranted)
	_, err = NewClient(newPool(t)).Begin(context.Background(), unreachable, recorder.Begin{})
	var failure *Error
	var cause *messenger.Error
	assert.Assert(t, errors.As(err, &failure) && errors.As(err, &cause))
	assert.Equal(t, cause.Kind, messenger.KindNotSent)
}

// Guards against a peer message that is decoded as another one, and against an invalid message that reaches the member.
func TestPeerMessages(t *testing.T) {
	member := &fakeMember{}
	address := serve(t, member)
	pool := newPool(t)
	record := &recorder.Record{Key: "k", State: recorder.StateGranted, Created: time.Unix(5, 0).UTC()}
	sent := []recorder.PeerMessage{
		recorder.Replicate{From: "a#1", To: "b#1", Term: 1, After: 2, Through: 3, Round: 4, Complete: true, Entries: []recorder.Entry{{ID: "i", Seq: 3, Record: record}}},
		recorder.Ack{View: 1, From: "b#1", To: "a#1", Term: 1, Applied: 3, Round: 4, Gap: true, Complete: true},
		recorder.Join{From: "b#1", To: "a#1"},
		recorder.Depart{From: "b#1", To: "a#1"},
	}
	for _, message := range sent {
		assert.NilError(t, SendPeer(context.Background(), pool, address, message))
	}
	assert.DeepEqual(t, member.inbox, sent)
	err := pool.Client(address).Call(context.Background(), methodPeerMessage, struct{}{}, nil)
	assert.ErrorContains(t, err, "no known message")
}

func FuzzHandle(f *testing.F) {
	f.Add(methodBegin, []byte(`{"key":"k"}`))
	f.Add(methodPeerMessage, []byte(`{"copy":{"entries":[{"seq":1}]}}`))
	f.Fuzz(func(t *testing.T, method string, params []byte) {
		member := &fakeMember{replies: []recorder.Reply{{Outcome: recorder.OutcomePending}}}
		_, err := NewHandler(member).Handle(context.Background(), method, json.RawMessage(params))
		assert.Assert(t, err == nil || len(member.requests) == 0)
	})
}
