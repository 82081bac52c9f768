package answerer

import (
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"gotest.tools/v3/assert"

	"sequoiaspread.example/sequoia/director"
	"sequoiaspread.example/sequoia/dispatcher"
	"sequoiaspread.example/sequoia/fleetserver"
)

const (
	refusedResponse     = "HTTP/1.1 503 Busy\r\nId: ID\r\nRefused: 1\r\nContent-Length: 0\r\n\r\n"
	misdirectedResponse = "HTTP/1.1 421 Misdirected\r\nId: ID\r\nRefused: 1\r\nReplaced: 1\r\nContent-Length: 0\r\n\r\n"
)

// replacementCodec also reads that another instance responded.
type replacementCodec struct{ plainCodec }

// ParseResponse reads the markers of the response.
func (c replacementCodec) ParseResponse(status int, header http.Header) ResponseInfo {
	info := c.plainCodec.ParseResponse(status, header)
	info.Replaced = header.Get("Replaced") != ""
	return info
}

// loggedVM is a test VM whose log entries are kept.
type loggedVM struct {
	*testVM
	entries *logtest.Hook
}

func newLoggedVM(t *testing.T, region string) loggedVM {
	t.Helper()
	vm := newTestVM(t, region)
	logger, hook := logtest.NewNullLogger()
	vm.answerer.config.Logger = logger
	vm.answerer.config.HeaderCodec = replacementCodec{}
	return loggedVM{testVM: vm, entries: hook}
}

// setState applies a state whose routes have the given home regions.
func (vm loggedVM) setState(revision uint64, confirmedAt time.Time, homes ...string) {
	var document *director.Document
	vm.setDocument(func(d *director.Document) {
		d.Version = revision * 10
		for i := range d.Routes {
			d.Routes[i].HomeRegions = homes
		}
		document = d
	})
	vm.answerer.SetState(State{
		Document: document, Revision: revision, Confirmed: !confirmedAt.IsZero(), ConfirmedAt: confirmedAt,
	})
}

// line returns the fields of the only entry with the message.
func (vm loggedVM) line(t *testing.T, message string) logrus.Fields {
	t.Helper()
	var found []logrus.Fields
	for deadline := time.Now().Add(5 * time.Second); len(found) == 0; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline), "waited too long for %q", message)
		for _, entry := range vm.entries.AllEntries() {
			if entry.Message == message {
				found = append(found, entry.Data)
			}
		}
	}
	assert.Equal(t, len(found), 1)
	return found[0]
}

func assertFields(t *testing.T, line logrus.Fields, want logrus.Fields) {
	t.Helper()
	for name, value := range want {
		assert.DeepEqual(t, line[name], value)
	}
}

func assertAbsent(t *testing.T, line logrus.Fields, names ...string) {
	t.Helper()
	for _, name := range names {
		_, ok := line[name]
		assert.Assert(t, !ok, "%s is %v", name, line[name])
	}
}

// Guards against a request that ran outside its home region by a stale document looking like one that ran by the
// newest: revision, confirmation, age and home regions must be in its line.
func TestLineShowsTheDocumentOfTheDecision(t *testing.T) {
	for name, test := range map[string]struct {
		confirmedAt time.Time
		confirmAs   uint64
		stale       bool
		confirmed   bool
	}{
		"fresh":                       {confirmedAt: time.Now(), confirmed: true},
		"not confirmed for a minute":  {confirmedAt: time.Now().Add(-time.Minute), confirmed: true, stale: true},
		"confirmed again":             {confirmedAt: time.Now().Add(-time.Minute), confirmAs: 7, confirmed: true},
		"a newer revision is no sign": {confirmedAt: time.Now().Add(-time.Minute), confirmAs: 8, confirmed: true, stale: true},
		"from replayed logs":          {confirmAs: 7},
	} {
		t.Run(name, func(t *testing.T) {
			vm := newLoggedVM(t, "south")
			vm.setState(7, test.confirmedAt)
			vm.setUpstreams(startUpstream(t, rawResponse(completeResponse, true)))
			vm.answerer.ConfirmDocument(test.confirmAs, time.Now())
			assert.Equal(t, vm.send(t, "/unsafe/1", "r1").status, http.StatusOK)
			line := vm.line(t, "request answered")
			assertFields(t, line, logrus.Fields{
				"revision": uint64(7), "document": uint64(70), "confirmed": test.confirmed, "region": "south",
				"decision": decisionUpstream, "upstream-zone": "south-a",
			})
			assertAbsent(t, line, "homes", "sender-revision", "meant-for")
			if !test.confirmed {
				assertAbsent(t, line, "document-age-ms")
				return
			}
			age := line["document-age-ms"].(int64)
			assert.Equal(t, age >= time.Minute.Milliseconds(), test.stale, "age %d ms", age)
		})
	}
}

// Guards against a request at an upstream that has left looking like one that was sent by a recent list.
func TestLineShowsTheAgeOfTheList(t *testing.T) {
	vm := newLoggedVM(t, "south")
	vm.setState(7, time.Now())
	vm.setUpstreams(startUpstream(t, rawResponse(completeResponse, true)))
	vm.answerer.ConfirmUpstreams(time.Now().Add(-time.Minute))
	assert.Equal(t, vm.send(t, "/unsafe/1", "r1").status, http.StatusOK)
	age := vm.line(t, "request answered")["list-age-ms"].(int64)
	assert.Assert(t, age >= time.Minute.Milliseconds(), "age %d ms", age)
}

// Guards against a step of the clock changing the age of a document: it must be measured by the monotonic clock.
func TestDocumentAgeIsMonotonic(t *testing.T) {
	vm := newLoggedVM(t, "south")
	vm.setState(7, time.Now())
	assert.Assert(t, strings.Contains(vm.answerer.document.Load().confirmedAt.Load().String(), "m=+"))
}

// Guards against the VM that forwarded and the one that received using different documents unseen, and against the
// fields between VMs reaching upstreams or being believed from callers.
func TestLineShowsTheDocumentOfTheSender(t *testing.T) {
	here, home := newLoggedVM(t, "south"), newLoggedVM(t, "north")
	here.setState(9, time.Now(), "north")
	home.setState(8, time.Now(), "north", "south")
	received := make(chan http.Header, 1)
	respond := rawResponse(completeResponse, true)
	home.setUpstreams(startUpstream(t, func(conn net.Conn, request *http.Request) bool {
		received <- request.Header
		return respond(conn, request)
	}))
	here.answerer.SetFleet([]fleetserver.EntryVM{here.entry(), home.entry()})
	request, err := http.NewRequest(http.MethodPost, here.callers.URL+"/unsafe/1", strings.NewReader("body"))
	assert.NilError(t, err)
	request.Host = "x.example"
	request.Header.Set("Id", "r1")
	request.Header.Set(headerDocument, "1.1")
	request.Header.Set(headerReceiver, "entry-moon")
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.Equal(t, response.StatusCode, http.StatusOK)
	sender := here.line(t, "request answered")
	assertFields(t, sender, logrus.Fields{
		"revision": uint64(9), "decision": decisionHomeRegion, "region": "north", "homes": []string{"north"},
		"upstream": "entry-north", "forwarded": false,
	})
	assertAbsent(t, sender, "sender-revision", "sender-document", "meant-for", "upstream-zone")
	receiver := home.line(t, "request answered")
	assertFields(t, receiver, logrus.Fields{
		"revision": uint64(8), "document": uint64(80), "sender-revision": uint64(9), "sender-document": uint64(90),
		"decision": decisionUpstream, "region": "north", "homes": []string{"north", "south"}, "forwarded": true,
	})
	assertAbsent(t, receiver, "meant-for")
	header := <-received
	assert.Equal(t, header.Get(headerDocument), "")
	assert.Equal(t, header.Get(headerReceiver), "")
}

// Guards against an address of an entry VM that changed hands looking like a decision of the route.
func TestLineShowsAnEntryVMThatWasNotMeant(t *testing.T) {
	here, home := newLoggedVM(t, "south"), newLoggedVM(t, "north")
	here.setState(9, time.Now(), "north")
	home.setState(9, time.Now(), "north")
	home.setUpstreams(startUpstream(t, rawResponse(completeResponse, true)))
	former := home.entry()
	former.Name = "entry-former"
	here.answerer.SetFleet([]fleetserver.EntryVM{here.entry(), former})
	assert.Equal(t, here.send(t, "/unsafe/1", "r1").status, http.StatusOK)
	assertFields(t, home.line(t, "request answered"), logrus.Fields{"meant-for": "entry-former", "sender-revision": uint64(9)})
}

// Guards against an address that changed hands looking like a refusal: the line must show address and expected instance.
func TestLineShowsAnAddressThatChangedHands(t *testing.T) {
	t.Run("upstream", func(t *testing.T) {
		vm := newLoggedVM(t, "south")
		vm.setState(7, time.Now())
		u := startUpstream(t, rawResponse(misdirectedResponse, true))
		vm.setUpstreams(u)
		assert.Equal(t, vm.send(t, "/unsafe/1", "r1").status, http.StatusServiceUnavailable)
		assertFields(t, vm.line(t, "send failed"), logrus.Fields{
			"request": "r1", "outcome": "replaced", "upstream": "u0", "address": u.address.String(),
		})
	})
	t.Run("entry VM", func(t *testing.T) {
		vm := newLoggedVM(t, "south")
		vm.setState(7, time.Now(), "north")
		u := startUpstream(t, rawResponse(completeResponse, true))
		vm.answerer.SetFleet([]fleetserver.EntryVM{{Name: "entry-north", Region: "north", PeerAddress: u.address}})
		assert.Equal(t, vm.send(t, "/unsafe/1", "r1").status, http.StatusOK)
		assertFields(t, vm.line(t, "send failed"), logrus.Fields{
			"request": "r1", "outcome": "replaced", "upstream": "entry-north", "address": u.address.String(),
			"decision": decisionHomeRegion, "region": "north",
		})
	})
}

// Guards against decisions that pick a region without its line naming which decision it was.
func TestLineShowsTheKindOfDecision(t *testing.T) {
	t.Run("no local capacity", func(t *testing.T) {
		here, other := newLoggedVM(t, "south"), newLoggedVM(t, "north")
		here.setState(9, time.Now())
		other.setState(9, time.Now())
		here.setUpstreams(startUpstream(t, rawResponse(refusedResponse, true)))
		other.setUpstreams(startUpstream(t, rawResponse(completeResponse, true)))
		here.answerer.SetFleet([]fleetserver.EntryVM{here.entry(), other.entry()})
		here.answerer.SetLoads(map[string]fleetserver.Loads{"north": {"s": {Pressure: 100}}})
		assert.Equal(t, here.send(t, "/unsafe/1", "r1").status, http.StatusOK)
		assertFields(t, here.line(t, "request answered"), logrus.Fields{"decision": decisionNoCapacity, "region": "north"})
	})
	t.Run("no home reachable", func(t *testing.T) {
		here := newLoggedVM(t, "south")
		here.setState(9, time.Now(), "north")
		assert.Equal(t, here.send(t, "/unsafe/1", "r1").status, http.StatusServiceUnavailable)
		line := here.line(t, "request not answered")
		assertFields(t, line, logrus.Fields{"cause": "no-home-reachable", "homes": []string{"north"}, "sends": 0})
		assertAbsent(t, line, "decision", "region")
	})
	for _, kind := range []decision{decisionOwner, decisionSpillover} {
		t.Run(string(kind), func(t *testing.T) {
			here, other := newLoggedVM(t, "south"), newLoggedVM(t, "north")
			here.setState(9, time.Now())
			other.setState(9, time.Now())
			route, ok := here.answerer.Table().FindRoute("x.example", "/unsafe/1")
			assert.Assert(t, ok)
			request, err := http.NewRequest(http.MethodPost, "/unsafe/1", nil)
			assert.NilError(t, err)
			request.RequestURI, request.Host = "/unsafe/1", "x.example"
			j := &job{
				a: here.answerer, r: request, w: httptest.NewRecorder(), route: route, service: "s", attemptsLeft: 1, arrived: time.Now(),
				deadline: time.Now().Add(time.Second), document: here.answerer.document.Load(), info: RequestInfo{ID: "r1"},
			}
			j.forwardTo(t.Context(), target{name: "entry-north", region: "north", address: other.entry().PeerAddress}, kind)
			here.answerer.recordOutcome(j)
			received := other.line(t, "request not answered")
			assertFields(t, received, logrus.Fields{"forwarded": true, "sender-revision": uint64(9)})
			assert.Equal(t, j.outcome.send.decision, kind)
			assert.Equal(t, j.outcome.send.region, "north")
		})
	}
}

// Guards against the log limit hiding the requests that matter for home regions, and against their lines having no
// limit of their own.
func TestLogLimitKeepsLinesOfHomeRoutes(t *testing.T) {
	for name, test := range map[string]struct {
		homes       []string
		confirmedAt time.Time
		logged      bool
	}{
		"no home regions":   {confirmedAt: time.Now()},
		"home regions":      {confirmedAt: time.Now(), homes: []string{"south"}, logged: true},
		"doubtful document": {confirmedAt: time.Now().Add(-time.Minute), logged: true},
	} {
		t.Run(name, func(t *testing.T) {
			vm := newLoggedVM(t, "south")
			vm.setState(7, test.confirmedAt, test.homes...)
			now := time.Now()
			exhaust := func(allow func(now time.Time, n int) bool) {
				assert.Assert(t, allow(now.Add(time.Hour), answeredLogsPerSecond))
			}
			route, _ := vm.answerer.Table().FindRoute("x.example", "/unsafe/1")
			j := &job{a: vm.answerer, route: route, document: vm.answerer.document.Load()}
			j.recordSend(decisionUpstream, "south", "u0", netip.AddrPort{}, dispatcher.Upstream{ID: "u0"})
			exhaust(vm.answerer.answeredLog.AllowN)
			assert.Equal(t, vm.answerer.allowAnsweredLog(j), test.logged)
			exhaust(vm.answerer.homeRouteLog.AllowN)
			exhaust(vm.answerer.doubtfulLog.AllowN)
			assert.Assert(t, !vm.answerer.allowAnsweredLog(j))
		})
	}
}
