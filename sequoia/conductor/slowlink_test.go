package conductor

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"golang.org/x/time/rate"
	"gotest.tools/v3/assert"

	"sequoiaspread.example/sequoia/answerer"
	"sequoiaspread.example/sequoia/director"
	"sequoiaspread.example/sequoia/dispatcher"
	"sequoiaspread.example/sequoia/fleetserver"
	"sequoiaspread.example/sequoia/forwarder"
	"sequoiaspread.example/sequoia/messenger"
)

const (
	// slowLinkBytesPerSecond is the link of a small entry VM, 10 Mbit/s.
	slowLinkBytesPerSecond = 10e6 / 8
	// segmentBytes is the size of the pieces in which connections share the link.
	segmentBytes = 1400
	// changeOfRoutesBytes is what 1,400 routes add to a document.
	changeOfRoutesBytes = 460_000
	// changeBound is the time within which an acknowledged change is in force.
	changeBound = 4 * time.Second
	// drainBound is the time within which an upstream that leaves gets no more requests. Reading the list takes a
	// coordinator up to listReadTime, and a request reaches its upstream up to sendWait after the choice; the rest is
	// left for the list on its way to the VM.
	drainBound   = 5 * time.Second
	listReadTime = 1600 * time.Millisecond
	sendWait     = 1200 * time.Millisecond
	listBound    = drainBound - listReadTime - sendWait
)

// slowLink limits the bytes that one VM receives over all its connections.
type slowLink struct {
	limiter *rate.Limiter
}

func newSlowLink() slowLink {
	return slowLink{limiter: rate.NewLimiter(slowLinkBytesPerSecond, segmentBytes)}
}

// slowListener accepts connections whose replies pass through the link.
type slowListener struct {
	net.Listener
	link slowLink
}

// Accept returns the next connection.
func (l slowListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return slowConn{Conn: conn, link: l.link}, err
}

type slowConn struct {
	net.Conn
	link slowLink
}

// Write writes segment by segment, as the link allows.
func (c slowConn) Write(data []byte) (int, error) {
	written := 0
	for written < len(data) {
		segment := data[written:min(len(data), written+segmentBytes)]
		if err := c.link.limiter.WaitN(context.Background(), len(segment)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(segment)
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// fakeCoordinators return the same state and list of upstreams.
type fakeCoordinators struct {
	mu      sync.Mutex
	state   fleetserver.State
	list    fleetserver.UpstreamList
	fetches atomic.Int64
}

func (f *fakeCoordinators) set(state fleetserver.State, list fleetserver.UpstreamList) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state, f.list = state, list
}

// HandleLease leads nothing.
func (f *fakeCoordinators) HandleLease(fleetserver.LeaseRequest) fleetserver.LeaseReply {
	return fleetserver.LeaseReply{}
}

// HandleHeartbeat returns the revision and, if it changed, the list.
func (f *fakeCoordinators) HandleHeartbeat(heartbeat fleetserver.Heartbeat) fleetserver.HeartbeatReply {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := f.list
	if heartbeat.UpstreamsDigest == list.Digest {
		list.Upstreams = nil
	}
	return fleetserver.HeartbeatReply{Revision: f.state.Revision, UpstreamList: &list}
}

// AppliedState returns the state.
func (f *fakeCoordinators) AppliedState() fleetserver.State {
	f.fetches.Add(1)
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state
}

// AddStreams forgets the streams.
func (f *fakeCoordinators) AddStreams(fleetserver.Streams) {}

// FindStream knows no stream.
func (f *fakeCoordinators) FindStream(fleetserver.StreamQuery) fleetserver.StreamVersion {
	return fleetserver.StreamVersion{}
}

// ReplayedState returns the state.
func (f *fakeCoordinators) ReplayedState() fleetserver.State {
	return f.AppliedState()
}

// start returns the addresses of coordinators whose replies share one link.
func (f *fakeCoordinators) start(t *testing.T, count int) []netip.AddrPort {
	t.Helper()
	return startCoordinators(t, f, count)
}

// startCoordinators returns the addresses of coordinators that one service backs.
func startCoordinators(t *testing.T, service fleetserver.Service, count int) []netip.AddrPort {
	t.Helper()
	methods := fleetserver.Methods(service)
	logger, _ := logtest.NewNullLogger()
	link := newSlowLink()
	server := messenger.NewServer(messenger.ServerConfig{Logger: logger, Handler: messenger.HandlerFunc(
		func(ctx context.Context, method string, params json.RawMessage) (any, error) {
			return methods[method](ctx, params)
		},
	)})
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	var addresses []netip.AddrPort
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		addresses = append(addresses, netip.MustParseAddrPort(listener.Addr().String()))
		running.Go(func() { assert.Check(t, server.Serve(ctx, slowListener{Listener: listener, link: link})) })
	}
	return addresses
}

// startSlowVM runs the heartbeats of an entry VM to the coordinators.
func startSlowVM(t *testing.T, coordinators []netip.AddrPort) *answerer.Answerer {
	t.Helper()
	logger, _ := logtest.NewNullLogger()
	self := fleetserver.EntryVM{Name: "a", Zone: "z", Region: "r"}
	vm := answerer.New(answerer.Config{
		Self: self, HeaderCodec: nopHeaderCodec{}, Logger: logger, Client: forwarder.New(forwarder.Config{}),
		Metrics: answerer.NewMetrics(prometheus.NewRegistry()),
	})
	c := New(Config{
		Self: self, Coordinators: func() []netip.AddrPort { return coordinators }, Answerer: vm, Logger: logger,
		DecodeDocument: decodeTestDocument,
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- c.heartbeats.run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
		assert.NilError(t, c.pool.Close())
	})
	return vm
}

// testDocument returns a document of the given size that does not compress.
func testDocument(version uint64, size int) []byte {
	text := make([]byte, size)
	_, _ = rand.Read(text)
	return append(binary.BigEndian.AppendUint64(nil, version), text...)
}

func decodeTestDocument(text []byte) (*director.Document, error) {
	return &director.Document{Version: binary.BigEndian.Uint64(text)}, nil
}

// waitUntil returns the time until a condition is met, at most the bound.
func waitUntil(bound time.Duration, met func() bool) (time.Duration, bool) {
	start := time.Now()
	for !met() {
		if time.Since(start) > bound {
			return bound, false
		}
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(start), true
}

// Guards against a change that is not in force in time because each coordinator sends the whole state at once.
func TestLargeStateWasFetchedFromEachCoordinator(t *testing.T) {
	coordinators := &fakeCoordinators{}
	coordinators.set(fleetserver.State{Revision: 1, Version: 1, Text: testDocument(1, 0)}, fleetserver.UpstreamList{})
	vm := startSlowVM(t, coordinators.start(t, 6))
	inForce := func(version uint64) func() bool {
		return func() bool { return vm.Table() != nil && vm.Table().Version == version }
	}
	_, ok := waitUntil(changeBound, inForce(1))
	assert.Assert(t, ok, "the first document is not in force")
	before := coordinators.fetches.Load()
	coordinators.set(fleetserver.State{Revision: 2, Version: 2, Text: testDocument(2, changeOfRoutesBytes)}, fleetserver.UpstreamList{})
	delay, ok := waitUntil(changeBound, inForce(2))
	assert.Check(t, ok, "version 2 is not in force after %v", changeBound)
	t.Logf("in force after %v, %d fetches", delay, coordinators.fetches.Load()-before)
	assert.Equal(t, coordinators.fetches.Load()-before, int64(1), "fetches of one state")
}

// Guards against a list of upstreams that is older than the bound because it waits behind the state.
func TestUpstreamListWaitedBehindTheState(t *testing.T) {
	coordinators := &fakeCoordinators{}
	list := fleetserver.UpstreamList{Digest: 1, Upstreams: []dispatcher.Upstream{{ID: "u", Service: "s", Zone: "z", Slots: 1}}}
	coordinators.set(fleetserver.State{Revision: 1, Version: 1, Text: testDocument(1, 0)}, list)
	vm := startSlowVM(t, coordinators.start(t, 6))
	_, ok := waitUntil(listBound, func() bool { return vm.Table() != nil && len(vm.Upstreams()) == 1 })
	assert.Assert(t, ok, "the first list has not arrived")
	for version := uint64(2); version < 6; version++ {
		list.Digest = version
		list.Upstreams = []dispatcher.Upstream{{ID: fmt.Sprint("u", version), Service: "s", Zone: "z", Slots: 1}}
		coordinators.set(fleetserver.State{Revision: version, Version: version, Text: testDocument(version, 2*changeOfRoutesBytes)}, list)
		delay, ok := waitUntil(listBound, func() bool {
			upstreams := vm.Upstreams()
			return len(upstreams) == 1 && upstreams[0].ID == list.Upstreams[0].ID
		})
		assert.Check(t, ok, "the list has not arrived after %v", listBound)
		t.Logf("list after %v", delay)
	}
}
