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

// plainTranslator states everything in headers of its own.
type plainTranslator struct{}

// Describe reads the id, the patience in milliseconds and the last event.
func (plainTranslator) ParseRequest(header http.Header) RequestInfo {
	about := RequestInfo{ID: header.Get("Id"), LastEvent: header.Get("Last")}
	if patience, err := strconv.Atoi(header.Get("Patience")); err == nil {
		about.Timeout = time.Duration(patience) * time.Millisecond
	}
	return about
}

// Prepare writes what the upstream is told.
func (plainTranslator) PrepareRequest(header http.Header, send SendOptions) {
	header.Set("Patience", strconv.FormatInt(send.Remaining.Milliseconds(), 10))
	if send.LastEvent != "" {
		header.Set("Last", send.LastEvent)
	}
	if send.Instance != "" {
		header.Set("Instance", send.Instance)
	}
}

// Belongs compares the echoed id.
func (plainTranslator) MatchesID(header http.Header, id string) bool {
	return header.Get("Id") == "" || header.Get("Id") == id
}

// Judge reads the marks of the response.
func (plainTranslator) ParseResponse(_ int, header http.Header) ResponseInfo {
	return ResponseInfo{NotRun: header.Get("Refused") != "", FromUpstream: header.Get("Seal") != ""}
}

// Refuse writes the time to come back.
func (plainTranslator) SetRetryAfter(header http.Header, after time.Duration) {
	header.Set("Come-Back", after.String())
}

// fakeUpstream answers each request with raw bytes.
type fakeUpstream struct {
	address netip.AddrPort
	socket  net.Listener
	answer  script
	served  atomic.Int64
	opened  atomic.Int64
}

// script writes the raw answer to one request; it reports whether the connection stays open.
type script func(conn net.Conn, request *http.Request) bool

func startUpstream(t *testing.T, answer script) *fakeUpstream {
	t.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	u := &fakeUpstream{address: netip.MustParseAddrPort(socket.Addr().String()), socket: socket, answer: answer}
	var work sync.WaitGroup
	ctx, cancel := context.WithCancel(context.Background())
	work.Go(func() {
		for {
			conn, err := socket.Accept()
			if err != nil {
				return
			}
			u.opened.Add(1)
			context.AfterFunc(ctx, func() { _ = conn.Close() })
			work.Go(func() { u.serve(conn) })
		}
	})
	t.Cleanup(func() {
		cancel()
		_ = socket.Close()
		work.Wait()
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
		_, _ = io.Copy(io.Discard, request.Body)
		u.served.Add(1)
		if !u.answer(conn, request) {
			return
		}
	}
}

// raw answers with a fixed text, in which ID stands for the id of the request.
func raw(text string, keep bool) script {
	return func(conn net.Conn, request *http.Request) bool {
		_, err := io.WriteString(conn, strings.ReplaceAll(text, "ID", request.Header.Get("Id")))
		return err == nil && keep
	}
}

const wholeText = "HTTP/1.1 200 OK\r\nId: ID\r\nSeal: s\r\nContent-Length: 5\r\n\r\nwhole"

// world is one entry VM with its callers' and peers' listeners.
type world struct {
	answerer *Answerer
	callers  *httptest.Server
	peers    *httptest.Server
}

func newWorld(t *testing.T, region string) *world {
	t.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	client := forwarder.New(forwarder.Config{})
	a := New(Config{
		Self:        fleetserver.EntryVM{Name: "entry-" + region, Zone: region + "-a", Region: region},
		HeaderCodec: plainTranslator{}, Logger: logger, Client: client, Metrics: NewMetrics(prometheus.NewRegistry()),
		Budget: dispatcher.RetryBudgetConfig{Ratio: 0.2, Extra: 50, Window: 10 * time.Second}, ColdRateFactor: 1.5, ColdBurst: 3,
	})
	w := &world{answerer: a, callers: httptest.NewServer(a.CallerHandler()), peers: httptest.NewServer(a.PeerHandler())}
	t.Cleanup(w.callers.Close)
	t.Cleanup(w.peers.Close)
	return w
}

func (w *world) entry() fleetserver.EntryVM {
	entry := w.answerer.config.Self
	entry.PeerAddress = netip.MustParseAddrPort(w.peers.Listener.Addr().String())
	return entry
}

// document has one route of each class; change may alter it.
func (w *world) document(change func(d *director.Document)) {
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
	w.answerer.SetDocument(d, nil)
}

func (w *world) upstreams(all ...*fakeUpstream) {
	var list []dispatcher.Upstream
	for i, u := range all {
		list = append(list, dispatcher.Upstream{
			ID: "u" + strconv.Itoa(i), Service: "s", Zone: w.answerer.config.Self.Zone, Slots: 4, Address: u.address,
		})
	}
	w.answerer.SetUpstreams(list)
}

// answer is what a caller got; err is set when the body broke off.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

func (w *world) ask(t *testing.T, path, id string) answer {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, w.callers.URL+path, strings.NewReader("body"))
	assert.NilError(t, err)
	request.Host = "x.example"
	request.Header.Set("Id", id)
	request.Header.Set("Patience", "1500")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: string(body), err: err}
}
