package answerer

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"sequoiaspread.example/sequoia/director"
	"sequoiaspread.example/sequoia/dispatcher"
	"sequoiaspread.example/sequoia/fleetserver"
	"sequoiaspread.example/sequoia/forwarder"
)

// plainCodec uses plain header fields for all information.
type plainCodec struct{}

// ParseRequest reads the ID, the timeout in milliseconds, the last event and the parts of the prompt.
func (plainCodec) ParseRequest(header http.Header) RequestInfo {
	info := RequestInfo{ID: header.Get("Id"), LastEvent: header.Get("Last"), Resumes: header.Get("Resumes")}
	for part := range strings.SplitSeq(header.Get("Parts"), ",") {
		info.Parts = append(info.Parts, dispatcher.PromptPart{ID: part, Tokens: 10})
	}
	if timeout, err := strconv.Atoi(header.Get("Patience")); err == nil {
		info.Timeout = time.Duration(timeout) * time.Millisecond
	}
	return info
}

// PrepareRequest writes the fields for the upstream.
func (plainCodec) PrepareRequest(header http.Header, options SendOptions) {
	header.Set("Patience", strconv.FormatInt(options.Remaining.Milliseconds(), 10))
	if options.LastEvent != "" {
		header.Set("Last", options.LastEvent)
	}
	if options.Instance != "" {
		header.Set("Instance", options.Instance)
		header.Set("Rank", strconv.Itoa(options.Rank))
	}
	if options.ReplaceIdentity {
		header.Del("Key")
		header.Del("Name")
	}
	if options.Organisation != "" {
		header.Set("Name", options.Organisation)
	}
}

// ParseKey reads the key.
func (plainCodec) ParseKey(header http.Header) string { return header.Get("Key") }

// SetChallenge asks for a key.
func (plainCodec) SetChallenge(header http.Header) { header.Set("Needs", "Key") }

// MatchesID compares the echoed ID.
func (plainCodec) MatchesID(header http.Header, id string) bool {
	return header.Get("Id") == "" || header.Get("Id") == id
}

// ParseResponse reads the markers of the response.
func (plainCodec) ParseResponse(_ int, header http.Header) ResponseInfo {
	// A missing or invalid wait counts as none.
	wait, _ := time.ParseDuration(header.Get("Wait"))
	return ResponseInfo{
		NotRun: header.Get("Refused") != "", NamesRequest: header.Get("Id") != "", FromUpstream: header.Get("Seal") != "", Leaving: header.Get("Leaving") != "", Wait: wait,
	}
}

// SetRetryAfter writes the time after which to retry.
func (plainCodec) SetRetryAfter(header http.Header, after time.Duration) {
	header.Set("Come-Back", after.String())
}

// fakeUpstream answers each request with raw bytes.
type fakeUpstream struct {
	address     netip.AddrPort
	socket      net.Listener
	respond     responder
	requests    atomic.Int64
	connections atomic.Int64
	// early is set if respond is called before the body of the request has been read.
	early bool
}

// responder writes the raw response to one request and reports whether the connection stays open.
type responder func(conn net.Conn, request *http.Request) bool

func startUpstream(t *testing.T, respond responder) *fakeUpstream {
	t.Helper()
	return serveUpstream(t, net.ListenConfig{}, &fakeUpstream{respond: respond})
}

// startEarlyUpstream starts an upstream that responds before it has read the body of a request, of which its kernel takes
// little.
func startEarlyUpstream(t *testing.T, respond responder) *fakeUpstream {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) })
	}}
	return serveUpstream(t, config, &fakeUpstream{respond: respond, early: true})
}

func serveUpstream(t *testing.T, config net.ListenConfig, u *fakeUpstream) *fakeUpstream {
	t.Helper()
	socket, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	u.address, u.socket = netip.MustParseAddrPort(socket.Addr().String()), socket
	var wg sync.WaitGroup
	ctx, cancel := context.WithCancel(context.Background())
	wg.Go(func() {
		for {
			conn, err := socket.Accept()
			if err != nil {
				return
			}
			u.connections.Add(1)
			context.AfterFunc(ctx, func() { _ = conn.Close() })
			wg.Go(func() { u.serve(conn) })
		}
	})
	t.Cleanup(func() {
		cancel()
		_ = socket.Close()
		wg.Wait()
	})
	return u
}

func (u *fakeUpstream) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if !u.early {
			_, _ = io.Copy(io.Discard, request.Body)
		}
		u.requests.Add(1)
		if !u.respond(conn, request) {
			return
		}
	}
}

// rawResponse responds with a fixed text, in which ID is replaced by the ID of the request.
func rawResponse(text string, keepOpen bool) responder {
	return func(conn net.Conn, request *http.Request) bool {
		_, err := io.WriteString(conn, strings.ReplaceAll(text, "ID", request.Header.Get("Id")))
		return err == nil && keepOpen
	}
}

const completeResponse = "HTTP/1.1 200 OK\r\nId: ID\r\nSeal: s\r\nContent-Length: 5\r\n\r\nwhole"

// testVM is one entry VM with its listeners for callers and peers.
type testVM struct {
	answerer *Answerer
	callers  *httptest.Server
	peers    *httptest.Server
}

func newTestVM(t *testing.T, region string) *testVM {
	t.Helper()
	return newNamedTestVM(t, region, "entry-"+region)
}

func newNamedTestVM(t *testing.T, region, name string) *testVM {
	t.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	client := forwarder.New(forwarder.Config{})
	a := New(Config{
		Self:        fleetserver.EntryVM{Name: name, Zone: region + "-a", Region: region},
		HeaderCodec: plainCodec{}, Logger: logger, Client: client, Metrics: NewMetrics(prometheus.NewRegistry()),
		Budget: dispatcher.RetryBudgetConfig{Ratio: 0.2, Extra: 50, Window: 10 * time.Second}, ColdRateFactor: 1.5, ColdBurst: 3,
	})
	vm := &testVM{answerer: a, callers: httptest.NewServer(a.CallerHandler()), peers: httptest.NewServer(a.PeerHandler())}
	t.Cleanup(vm.callers.Close)
	t.Cleanup(vm.peers.Close)
	return vm
}

func (vm *testVM) entry() fleetserver.EntryVM {
	entry := vm.answerer.config.Self
	entry.PeerAddress = netip.MustParseAddrPort(vm.peers.Listener.Addr().String())
	return entry
}

// setDocument applies a document with one route of each class, which change may modify.
func (vm *testVM) setDocument(change func(d *director.Document)) {
	d := &director.Document{Version: 1, Services: []director.Service{{Name: "s"}}}
	for _, class := range []director.Class{director.ClassSafe, director.ClassUnsafe, director.ClassStream} {
		d.Routes = append(d.Routes, director.Route{
			Name: string(class), Host: "x.example", Prefix: "/" + string(class) + "/", Class: class,
			Timeout: 2 * time.Second, Objective: 500 * time.Millisecond, Attempts: 2,
			Shares: []director.Share{{Service: "s", Weight: 1}},
		})
	}
	if change != nil {
		change(d)
	}
	vm.answerer.SetDocument(d, nil)
}

// setLastingFleet sets a fleet that has not changed for longer than a hand-over takes.
func (vm *testVM) setLastingFleet(fleet []fleetserver.EntryVM) {
	var members []dispatcher.Member
	for _, entry := range fleet {
		members = append(members, dispatcher.Member{Name: entry.Name, Zone: entry.Zone})
	}
	vm.answerer.dispatcher.SetFleet(time.Now().Add(-time.Hour), members)
	vm.answerer.SetFleet(fleet)
}

func (vm *testVM) setUpstreams(all ...*fakeUpstream) {
	var list []dispatcher.Upstream
	for i, u := range all {
		list = append(list, dispatcher.Upstream{
			ID: "u" + strconv.Itoa(i), Service: "s", Zone: vm.answerer.config.Self.Zone, Slots: 4, Address: u.address,
		})
	}
	vm.answerer.SetUpstreams(list)
}

// callResult is what a caller received; err is set if the body was truncated.
type callResult struct {
	status int
	header http.Header
	body   string
	err    error
}

func (vm *testVM) send(t *testing.T, path, id string) callResult {
	t.Helper()
	return vm.sendWith(t, path, id, func(*http.Request) {})
}

// sendWith sends a request that change may modify.
func (vm *testVM) sendWith(t *testing.T, path, id string, change func(request *http.Request)) callResult {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, vm.callers.URL+path, strings.NewReader("body"))
	assert.NilError(t, err)
	request.Host = "x.example"
	request.Header.Set("Id", id)
	request.Header.Set("Patience", "1500")
	change(request)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return callResult{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return callResult{status: response.StatusCode, header: response.Header, body: string(body), err: err}
}
