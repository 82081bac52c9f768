package answerer

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"
	"gotest.tools/v3/assert"

	"sequoiaspread.example/sequoia/director"
	"sequoiaspread.example/sequoia/dispatcher"
	"sequoiaspread.example/sequoia/fleetserver"
)

// organisationsVM is a test VM whose document has the organisations acme (key secret-a, rank 2) and base (key secret-b).
type organisationsVM struct {
	loggedVM
	// received holds the headers that the upstream of this VM received.
	received *headerRecorder
}

type headerRecorder struct {
	mu   sync.Mutex
	list []http.Header
}

func (r *headerRecorder) respond(with responder) responder {
	return func(conn net.Conn, request *http.Request) bool {
		r.mu.Lock()
		r.list = append(r.list, request.Header)
		r.mu.Unlock()
		return with(conn, request)
	}
}

func (r *headerRecorder) headers() []http.Header {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.list
}

func newOrganisationsVM(t *testing.T, region, name string, change func(d *director.Document)) organisationsVM {
	t.Helper()
	vm := organisationsVM{loggedVM: loggedVM{testVM: newNamedTestVM(t, region, name)}, received: &headerRecorder{}}
	logger, hook := logtest.NewNullLogger()
	vm.answerer.config.Logger, vm.entries = logger, hook
	vm.setOrganisations(change)
	vm.setUpstreams(startUpstream(t, vm.received.respond(rawResponse(completeResponse, true))))
	return vm
}

func (vm organisationsVM) setOrganisations(change func(d *director.Document)) {
	vm.setDocument(func(d *director.Document) {
		rank := 2
		d.Organisations = []director.Organisation{
			{Name: "acme", KeyDigests: []director.KeyDigest{director.DigestKey("secret-a")}, Rank: &rank},
			{Name: "base", KeyDigests: []director.KeyDigest{director.DigestKey("secret-b")}},
		}
		for i := range d.Routes {
			d.Routes[i].Rank = 7
		}
		if change != nil {
			change(d)
		}
	})
}

// call sends a request with a key and with forged fields.
func (vm organisationsVM) call(t *testing.T, path, id, key string) callResult {
	t.Helper()
	return vm.sendWith(t, path, id, func(request *http.Request) {
		request.Header.Set("Key", key)
		request.Header.Set("Name", "forged")
		request.Header.Set(headerOrganisation, "base")
	})
}

// callPeer sends a request as another entry VM does.
func (vm organisationsVM) callPeer(t *testing.T, fields map[string]string) callResult {
	t.Helper()
	peer := *vm.testVM
	peer.callers = vm.peers
	return peer.sendWith(t, "/unsafe/1", "r1", func(request *http.Request) {
		for name, value := range fields {
			request.Header.Set(name, value)
		}
	})
}

// awaitLines waits for the lines of requests, which are written after their responses.
func (vm organisationsVM) awaitLines(t *testing.T, count int) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); len(vm.entries.AllEntries()) < count; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline), "waited too long for %d lines", count)
	}
}

// assertNoKey checks that neither the upstream nor the log of a VM has a key.
func (vm organisationsVM) assertNoKey(t *testing.T) {
	t.Helper()
	for _, header := range vm.received.headers() {
		assert.Assert(t, !strings.Contains(fmt.Sprint(header), "secret"), "%v", header)
		assert.Equal(t, header.Get(headerOrganisation), "")
	}
	for _, entry := range vm.entries.AllEntries() {
		text, err := entry.String()
		assert.NilError(t, err)
		assert.Assert(t, !strings.Contains(text, "secret"), text)
	}
}

func anonymous(d *director.Document) {
	for i := range d.Routes {
		d.Routes[i].AllowAnonymous = true
	}
}

func homes(regions ...string) func(d *director.Document) {
	return func(d *director.Document) {
		anonymous(d)
		d.Organisations[0].HomeRegions = regions
	}
}

// Guards against a key, a forged name or a forged field between VMs reaching an upstream, an entry VM or a log, and against
// the priority of another organisation, on each way to an upstream.
func TestUpstreamGetsTheNameAndNoKey(t *testing.T) {
	for name, change := range map[string]func(d *director.Document){
		"own region": anonymous,
		"other region": func(d *director.Document) {
			anonymous(d)
			d.Routes[1].HomeRegions = []string{"north"}
		},
	} {
		t.Run(name, func(t *testing.T) {
			here := newOrganisationsVM(t, "south", "entry-south", change)
			far := newOrganisationsVM(t, "north", "entry-north", change)
			between := &headerRecorder{}
			forward := far.peers.Config.Handler
			far.peers.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_ = between.respond(func(net.Conn, *http.Request) bool { return true })(nil, &http.Request{Header: r.Header.Clone()})
				forward.ServeHTTP(w, r)
			})
			here.answerer.SetFleet([]fleetserver.EntryVM{here.entry(), far.entry()})
			for i, test := range []struct{ key, name, rank string }{
				{"secret-a", "acme", "2"}, {"secret-b", "base", "7"}, {"secret-unknown", "", "7"}, {"", "", "7"},
			} {
				assert.Equal(t, here.call(t, "/unsafe/1", fmt.Sprint("r", i), test.key).status, http.StatusOK)
				headers := append(here.received.headers(), far.received.headers()...)
				assert.Equal(t, len(headers), i+1)
				assert.Equal(t, headers[i].Get("Name"), test.name)
				assert.Equal(t, headers[i].Get("Rank"), test.rank)
				for _, header := range between.headers() {
					assert.Assert(t, !strings.Contains(fmt.Sprint(header), "secret") && header.Get("Name") == "", "%v", header)
				}
				if between.headers() != nil {
					assert.Equal(t, between.headers()[i].Get(headerOrganisation), test.name)
				}
			}
			here.awaitLines(t, 4)
			here.assertNoKey(t)
			far.assertNoKey(t)
			assert.Equal(t, here.entries.AllEntries()[0].Data["organisation"], "acme")
		})
	}
}

// Guards against a caller that names an organisation, or poses as an entry VM, instead of sending a key.
func TestCallerWithoutKeyGets401(t *testing.T) {
	vm := newOrganisationsVM(t, "south", "entry-south", nil)
	for _, key := range []string{"", "secret", "acme"} {
		result := vm.sendWith(t, "/unsafe/1", "r1", func(request *http.Request) {
			request.Header.Set("Key", key)
			request.Header.Set("Name", "acme")
			request.Header.Set(headerOrganisation, "acme")
			request.Header.Set(headerOwner, "1")
			request.Header.Set(headerDocument, "0.1")
		})
		assert.Equal(t, result.status, http.StatusUnauthorized)
		assert.Equal(t, result.header.Get("Needs"), "Key")
		assert.Equal(t, result.header.Get("Come-Back"), "")
	}
	assert.Equal(t, len(vm.received.headers()), 0)
	vm.awaitLines(t, 3)
	vm.assertNoKey(t)
}

// Guards against a document without organisations changing what is served and what an upstream receives.
func TestDocumentWithoutOrganisationsChangesNothing(t *testing.T) {
	vm := newOrganisationsVM(t, "south", "entry-south", func(d *director.Document) { d.Organisations = nil })
	assert.Equal(t, vm.call(t, "/unsafe/1", "r1", "secret-x").status, http.StatusOK)
	header := vm.received.headers()[0]
	assert.Equal(t, header.Get("Key"), "secret-x")
	assert.Equal(t, header.Get("Name"), "forged")
	assert.Equal(t, header.Get(headerOrganisation), "")
	assertAbsent(t, vm.line(t, "request answered"), "organisation")
}

// Guards against a 401 from a VM that may lack the newest keys, which ends the retries of a caller, and against a VM in
// doubt that refuses what it can serve.
func TestUnknownKeyInDoubtIsRefusedForNow(t *testing.T) {
	for name, test := range map[string]struct {
		confirmed   bool
		confirmedAt time.Time
		confirmNow  bool
		status      int
	}{
		"confirmed":       {true, time.Now(), false, http.StatusUnauthorized},
		"unconfirmed":     {false, time.Now(), false, http.StatusServiceUnavailable},
		"stale":           {true, time.Now().Add(-4 * time.Second), false, http.StatusServiceUnavailable},
		"confirmed again": {true, time.Now().Add(-time.Minute), true, http.StatusUnauthorized},
	} {
		t.Run(name, func(t *testing.T) {
			vm := newOrganisationsVM(t, "south", "entry-south", func(d *director.Document) { d.Routes[0].AllowAnonymous = true })
			document := vm.answerer.document.Load()
			document.confirmed = test.confirmed
			document.confirmedAt.Store(&test.confirmedAt)
			if test.confirmNow {
				vm.answerer.ConfirmDocument(document.revision, time.Now())
			}
			result := vm.call(t, "/unsafe/1", "r1", "secret-x")
			assert.Equal(t, result.status, test.status)
			assert.Equal(t, result.header.Get("Come-Back") != "", test.status == http.StatusServiceUnavailable)
			assert.Equal(t, vm.call(t, "/unsafe/1", "r2", "secret-a").status, http.StatusOK)
			assert.Equal(t, vm.call(t, "/safe/1", "r3", "secret-x").status, http.StatusOK)
		})
	}
}

// Guards against an open connection that keeps the rights of its first request, a 401 that closes the connection of a
// request without a body, and a removed key that ends a request in progress.
func TestKeysFollowTheDocumentOnAnOpenConnection(t *testing.T) {
	vm := newOrganisationsVM(t, "south", "entry-south", nil)
	conn, err := net.Dial("tcp", vm.callers.Listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	get := func(during func()) int {
		_, err := fmt.Fprint(conn, "GET /safe/1 HTTP/1.1\r\nHost: x.example\r\nId: r\r\nKey: secret-a\r\n\r\n")
		assert.NilError(t, err)
		during()
		response, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		return response.StatusCode
	}
	remove := func() {
		vm.setOrganisations(func(d *director.Document) { d.Organisations[0].KeyDigests = nil })
	}
	arrived, proceed := make(chan bool), make(chan bool)
	vm.setUpstreams(startUpstream(t, func(conn net.Conn, request *http.Request) bool {
		arrived <- true
		<-proceed
		return rawResponse(completeResponse, true)(conn, request)
	}))
	assert.Equal(t, get(func() { <-arrived; remove(); proceed <- true }), http.StatusOK)
	assert.Equal(t, get(func() {}), http.StatusUnauthorized)
	vm.setOrganisations(nil)
	vm.setUpstreams(startUpstream(t, rawResponse(completeResponse, true)))
	assert.Equal(t, get(func() {}), http.StatusOK)
}

// Guards against a request that is sent on to a region which the route or the organisation excludes, when its own region
// is excluded or can't serve it; base and the anonymous are not restricted.
func TestHomeRegionsOfRouteAndOrganisationBind(t *testing.T) {
	for name, test := range map[string]struct {
		route, organisation []string
		hereFails           bool
		// servedIn is the region that serves acme; empty if it is refused.
		servedIn string
	}{
		"own region excluded by the organisation":      {nil, []string{"north"}, false, "north"},
		"both allow one region":                        {[]string{"south", "north"}, []string{"north", "west"}, false, "north"},
		"own region allowed by the organisation only":  {[]string{"north", "west"}, []string{"south", "west"}, false, "west"},
		"nothing in common":                            {[]string{"south"}, []string{"north"}, false, ""},
		"no VM in the region":                          {nil, []string{"east"}, false, ""},
		"no capacity, others excluded":                 {nil, []string{"south"}, true, ""},
		"no capacity, one other allowed":               {nil, []string{"south", "west"}, true, "west"},
		"no capacity, others excluded by one of both":  {[]string{"south", "north"}, []string{"south", "west"}, true, ""},
		"no restriction, the control: the nearest one": {nil, nil, false, "south"},
	} {
		t.Run(name, func(t *testing.T) {
			change := func(d *director.Document) {
				homes(test.organisation...)(d)
				d.Routes[1].HomeRegions = test.route
			}
			var fleet []fleetserver.EntryVM
			vms := map[string]organisationsVM{}
			for _, region := range []string{"south", "north", "west"} {
				vms[region] = newOrganisationsVM(t, region, "entry-"+region, change)
				fleet = append(fleet, vms[region].entry())
			}
			here := vms["south"]
			here.answerer.SetFleet(fleet)
			here.answerer.SetLoads(map[string]fleetserver.Loads{"north": {"s": {Pressure: 10}}, "west": {"s": {Pressure: 20}}})
			if test.hereFails {
				here.setUpstreams(startUpstream(t, rawResponse(refusedResponse, true)))
			}
			for i := range 8 {
				result := here.call(t, "/unsafe/1", fmt.Sprint("r", i), "secret-a")
				assert.Equal(t, result.status == http.StatusOK, test.servedIn != "", "%d %s", result.status, result.body)
				if test.servedIn == "" {
					assert.Equal(t, result.status, http.StatusServiceUnavailable)
				}
			}
			for region, vm := range vms {
				assert.Equal(t, len(vm.received.headers()) > 0, region == test.servedIn, region)
			}
		})
	}
}

// Guards against a spillover to an excluded region.
func TestSpilloverAsksTheOrganisation(t *testing.T) {
	here := newOrganisationsVM(t, "south", "entry-south", homes("south"))
	here.answerer.SetFleet([]fleetserver.EntryVM{here.entry(), {Name: "far", Region: "north", PeerAddress: here.entry().PeerAddress}})
	document := here.answerer.document.Load()
	route, _ := document.table.FindRoute("x.example", "/unsafe/1")
	for key, want := range map[string]bool{"secret-a": false, "secret-b": true} {
		organisation, _ := document.table.FindOrganisation(key)
		j := &job{a: here.answerer, route: route, service: "s", document: document, organisation: organisation}
		_, found := j.remoteTarget()
		assert.Equal(t, found, want, key)
		_, found = j.spilloverTarget()
		assert.Assert(t, want || !found, key)
	}
}

// Guards against a VM that runs what another VM forwards although its own document excludes its region, as an owner or
// sender of the same region or as a VM of another one, and against one that runs an organisation which it does not know.
func TestReceiverDecidesByItsOwnDocument(t *testing.T) {
	vm := newOrganisationsVM(t, "south", "entry-south", homes("north"))
	for _, owner := range []string{"", "1"} {
		for organisation, reason := range map[string]string{"acme": "no-home-reachable", "newest": causeNoOrganisation} {
			result := vm.callPeer(t, map[string]string{headerOwner: owner, headerOrganisation: organisation})
			assert.Equal(t, result.status, http.StatusServiceUnavailable)
			assert.Equal(t, result.header.Get(headerOutcome), outcomeNotRun)
			assert.Equal(t, result.header.Get(headerReason), reason)
		}
	}
	assert.Equal(t, len(vm.received.headers()), 0)
	// The sender has checked the key, and the receiver takes the priority from its own document.
	assert.Equal(t, vm.callPeer(t, map[string]string{headerOrganisation: "base"}).status, http.StatusOK)
	assert.Equal(t, vm.received.headers()[0].Get("Name"), "base")
	vm.setOrganisations(nil)
	assert.Equal(t, vm.callPeer(t, map[string]string{headerOrganisation: "acme"}).status, http.StatusOK)
	assert.Equal(t, vm.received.headers()[1].Get("Rank"), "2")
	assert.Equal(t, vm.callPeer(t, nil).status, http.StatusOK)
	assert.Equal(t, vm.received.headers()[2].Get("Name"), "")
}

// Guards against a caller that is refused because one VM of the region that may serve it has an older document.
func TestAnotherVMIsTriedIfOneLacksTheOrganisation(t *testing.T) {
	here := newOrganisationsVM(t, "south", "entry-south", homes("north"))
	older := newOrganisationsVM(t, "north", "entry-1", func(d *director.Document) { d.Organisations = d.Organisations[1:] })
	newer := newOrganisationsVM(t, "north", "entry-2", homes("north"))
	here.answerer.SetFleet([]fleetserver.EntryVM{here.entry(), older.entry(), newer.entry()})
	for i := range 20 {
		assert.Equal(t, here.call(t, "/unsafe/1", fmt.Sprint("r", i), "secret-a").status, http.StatusOK)
	}
	assert.Equal(t, len(newer.received.headers()), 20)
	assert.Equal(t, len(older.received.headers()), 0)
	older.awaitLines(t, 1)
}

// Guards against a sender that lacks one organisation getting no requests of the others, and being asked again for the
// same request.
func TestSenderWithoutTheOrganisationIsNotBusy(t *testing.T) {
	here := newOrganisationsVM(t, "south", "entry-1", nil)
	j := &job{a: here.answerer}
	j.recordRefusal(target{name: "entry-2"}, decisionSender, causeNoOrganisation)
	assert.DeepEqual(t, j.dispatchRequest().ExcludedSenders, []string{"entry-2"})
	other := newOrganisationsVM(t, "south", "entry-2", nil)
	here.setLastingFleet([]fleetserver.EntryVM{here.entry(), other.entry()})
	var cold []dispatcher.Upstream
	for i := range 16 {
		cold = append(cold, dispatcher.Upstream{ID: fmt.Sprint("u", i), Service: "s", Zone: "south-a", Slots: 4, Cold: time.Minute})
	}
	here.answerer.SetUpstreams(cold)
	request := dispatcher.Request{ID: "r1", Service: "s"}
	here.setOrganisations(func(d *director.Document) { d.Services[0].ColdRate = 10 })
	_, found := here.answerer.sender(request, nil)
	assert.Assert(t, found)
	request.ExcludedSenders = j.excludedSenders
	_, found = here.answerer.sender(request, nil)
	assert.Assert(t, !found)
}

// Guards against a stream that goes on in an excluded region, within the answer or when its caller takes it up.
func TestStreamGoesOnInHomeRegionsOnly(t *testing.T) {
	for organisation, allowed := range map[string]bool{"a": false, "b": true} {
		t.Run(organisation, func(t *testing.T) {
			change := func(d *director.Document) {
				homes("south")(d)
				resumable(d)
			}
			here := newOrganisationsVM(t, "south", "entry-south", change)
			far := newOrganisationsVM(t, "north", "entry-north", change)
			here.answerer.SetFleet([]fleetserver.EntryVM{here.entry(), far.entry()})
			far.answerer.SetFleet([]fleetserver.EntryVM{far.entry()})
			here.answerer.SetLoads(map[string]fleetserver.Loads{"north": {"s": {Pressure: 100}}})
			here.setVersionedUpstreams(breakingUpstream(t))
			resumes := resumingUpstream(t, "v1")
			far.setVersionedUpstreams(resumes)
			got := here.call(t, "/stream/1", "r1", "secret-"+organisation)
			assert.Equal(t, got.err == nil && got.body == wholeStream, allowed, "%q %v", got.body, got.err)
			assert.Equal(t, resumes.takenUp.Load() > 0, allowed)

			far.answerer.SetStreamFinder(fixedFinder{version: "v1", known: true})
			got = far.sendWith(t, "/stream/1", "r2", func(request *http.Request) {
				request.Header.Set("Key", "secret-"+organisation)
				request.Header.Set("Last", "1")
				request.Header.Set("Resumes", "r1")
			})
			assert.Equal(t, got.status == http.StatusOK, allowed, "%d %q", got.status, got.body)
			assert.Equal(t, resumes.takenUp.Load() > 0, allowed)
		})
	}
}
