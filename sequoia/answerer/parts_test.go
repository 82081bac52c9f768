package answerer

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"sequoiaspread.example/sequoia/director"
	"sequoiaspread.example/sequoia/dispatcher"
	"sequoiaspread.example/sequoia/fleetserver"
	"sequoiaspread.example/sequoia/isolator"
)

// crashingUpstreams are upstreams that crash when they begin to answer a prompt with the part "deadly", each time with a
// successor at another address.
type crashingUpstreams struct {
	t       *testing.T
	vm      *testVM
	current *fakeUpstream
	started int
	deadly  int
	// begin is what is sent of the answer before the crash.
	begin string
}

func newCrashingUpstreams(t *testing.T, vm *testVM, begin string) *crashingUpstreams {
	c := &crashingUpstreams{t: t, vm: vm, begin: begin}
	c.replace()
	return c
}

// replace starts the next incarnation.
func (c *crashingUpstreams) replace() {
	var u *fakeUpstream
	u = startUpstream(c.t, func(conn net.Conn, request *http.Request) bool {
		if !strings.Contains(request.Header.Get("Parts"), "deadly") {
			return rawResponse(completeResponse, true)(conn, request)
		}
		c.deadly++
		_ = u.socket.Close()
		return rawResponse(c.begin, false)(conn, request)
	})
	c.current = u
	c.started++
	c.vm.answerer.SetUpstreams([]dispatcher.Upstream{{
		ID: fmt.Sprint("incarnation-", c.started), Service: "s", Zone: c.vm.answerer.config.Self.Zone, Slots: 4, Address: u.address,
	}})
}

func (vm *testVM) sendParts(t *testing.T, path, id, parts string) callResult {
	t.Helper()
	return vm.sendWith(t, path, id, func(r *http.Request) { r.Header.Set("Parts", parts) })
}

// exchangeHeartbeats lets a coordinator's Blamer and the VM exchange what heartbeats carry.
func exchangeHeartbeats(now time.Time, blamer *isolator.Blamer, vm *testVM, coordinator netip.AddrPort) {
	for _, crash := range vm.answerer.Crashes() {
		crash.Age = 0
		blamer.AddCrash(now, crash)
	}
	for _, completion := range vm.answerer.Completions(coordinator) {
		blamer.AddCompletion(now, completion)
	}
	suspicions, _ := blamer.Suspicions(now)
	vm.answerer.SetSuspicions(coordinator, suspicions)
}

// Guards against BUDGET on the tainted day: requests that share one part of their prompts, no two alike, crashed one
// upstream after the other, since only whole requests were counted.
func TestRequestsThatShareDeadlyPartAreRefused(t *testing.T) {
	begun := "HTTP/1.1 200 OK\r\nId: ID\r\nSeal: s\r\nContent-Length: 5\r\n\r\nwh"
	streamed := "HTTP/1.1 200 OK\r\nId: ID\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n9\r\ndata: 1\n\n\r\n"
	for name, begin := range map[string]string{"/unsafe/1": begun, "/unsafe/2": "", "/stream/1": streamed} {
		t.Run(name, func(t *testing.T) {
			vm := newTestVM(t, "north")
			vm.setDocument(nil)
			upstreams := newCrashingUpstreams(t, vm, begin)
			blamer, now := isolator.NewBlamer(), time.Now()
			for i := range 6 {
				crashes := len(vm.answerer.Crashes())
				deadly := upstreams.deadly
				vm.sendParts(t, fmt.Sprint(name, "/", i), fmt.Sprint("deadly-", i), fmt.Sprintf("first,deadly,own-%d", i))
				if upstreams.deadly > deadly {
					poll.WaitOn(t, func(poll.LogT) poll.Result {
						if len(vm.answerer.Crashes()) > crashes {
							return poll.Success()
						}
						return poll.Continue("the crash is not recorded")
					}, poll.WithTimeout(5*time.Second))
					upstreams.replace()
				}
				sound := vm.sendParts(t, fmt.Sprint("/unsafe/3/", i), fmt.Sprint("sound-", i), fmt.Sprintf("first,other,sound-%d", i))
				assert.Equal(t, sound.status, http.StatusOK, "a sound request with the same first part")
				now = now.Add(2 * time.Second)
				exchangeHeartbeats(now, blamer, vm, netip.AddrPort{})
				exchangeHeartbeats(now, blamer, vm, netip.AddrPort{})
			}
			assert.Equal(t, upstreams.deadly, isolator.MaxLostUpstreams, "upstreams that crashed")
			refused := vm.sendParts(t, name, "last", "first,deadly,own-7")
			assert.Equal(t, refused.status, http.StatusServiceUnavailable)
		})
	}
}

// Guards against refusing a part that has just completed here, and against the verdict of a coordinator that is gone.
func TestBlockedPartIsRunIfItCompletedSince(t *testing.T) {
	vm := newTestVM(t, "north")
	vm.setDocument(nil)
	newCrashingUpstreams(t, vm, "")
	j := &job{a: vm.answerer, service: "s", info: RequestInfo{Parts: []dispatcher.PromptPart{{ID: "p"}, {ID: "own"}}}}
	block := []isolator.Suspicion{{Part: slices.Clone(j.partFingerprints()), Blocked: true, Since: 10 * time.Second}}
	first, second := netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.1:2")
	vm.answerer.SetSuspicions(first, block)
	assert.Equal(t, vm.sendParts(t, "/unsafe/1", "r1", "p,own").status, http.StatusServiceUnavailable)
	assert.Equal(t, vm.sendParts(t, "/unsafe/1", "r2", "own,p").status, http.StatusOK, "the last part is the request's own")
	vm.answerer.SetSuspicions(first, nil)
	assert.Equal(t, vm.sendParts(t, "/unsafe/1", "r3", "p,own").status, http.StatusOK)
	vm.answerer.SetSuspicions(first, block)
	assert.Equal(t, vm.sendParts(t, "/unsafe/1", "r4", "p,own").status, http.StatusOK, "it completed since")
	assert.Equal(t, len(vm.answerer.Completions(first)), 1)
	assert.Equal(t, len(vm.answerer.Completions(second)), 0)
	vm.answerer.SetSuspicions(first, []isolator.Suspicion{{Part: block[0].Part, Blocked: true}})
	vm.answerer.SetSuspicions(second, nil)
	later := time.Now().Add(suspicionMaxLag)
	_, _, found := vm.answerer.parts.suspicion(later, j.partFingerprints(), true)
	assert.Assert(t, found)
	vm.answerer.parts.lists[second] = suspicionList{received: later.Add(time.Second)}
	_, _, found = vm.answerer.parts.suspicion(later.Add(time.Second), j.partFingerprints(), true)
	assert.Assert(t, !found, "the first coordinator has long been silent")
}

// Guards against unbounded memory and reports.
func TestPartRecordsAreBounded(t *testing.T) {
	vm := newTestVM(t, "north")
	tracker := vm.answerer.parts
	now := time.Now()
	for i := range 2 * maxCompletedParts {
		part := isolator.Fingerprint{1, byte(i), byte(i >> 8)}
		tracker.mu.Lock()
		if len(tracker.completed) >= maxCompletedParts {
			tracker.forgetCompletions(now)
		}
		tracker.completed[part] = now
		tracker.mu.Unlock()
		tracker.addCrash(now, isolator.Loss{Fingerprint: part, Upstream: uint32(i % 100)}, isolator.FingerprintList{part})
	}
	assert.Assert(t, len(tracker.completed) <= maxCompletedParts)
	crashes := vm.answerer.Crashes()
	assert.Equal(t, len(crashes), maxCrashes)
	for _, crash := range crashes {
		assert.Assert(t, len(crash.Parts) <= maxPartsOfCrash && len(crash.Requests) <= maxRequestsOfCrash)
	}
}

// Guards against crashes under forwarded requests counting for no VM or for both, and against a VM that was sent a
// blocked request answering that it may have run.
func TestCrashUnderForwardedRequestIsReportedByTheSender(t *testing.T) {
	here, far := newTestVM(t, "south"), newTestVM(t, "north")
	for _, vm := range []*testVM{here, far} {
		vm.setDocument(func(d *director.Document) {
			for i := range d.Routes {
				d.Routes[i].HomeRegions = []string{"north"}
			}
		})
	}
	here.answerer.SetFleet([]fleetserver.EntryVM{here.entry(), far.entry()})
	upstreams := newCrashingUpstreams(t, far, "")
	assert.Equal(t, here.sendParts(t, "/unsafe/1", "r1", "first,deadly,own").status, http.StatusBadGateway)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(far.answerer.Crashes()) == 1 {
			return poll.Success()
		}
		return poll.Continue("the crash is not recorded")
	}, poll.WithTimeout(5*time.Second))
	crash := far.answerer.Crashes()[0]
	assert.Equal(t, len(crash.Parts), 2)
	assert.DeepEqual(t, crash.Depths, []byte{0, 1})
	assert.Equal(t, len(here.answerer.Crashes()), 0)
	upstreams.replace()
	far.answerer.SetSuspicions(netip.AddrPort{}, []isolator.Suspicion{{Part: crash.Parts[1:], Blocked: true}})
	assert.Equal(t, here.sendParts(t, "/unsafe/1", "r2", "first,deadly,own").status, http.StatusServiceUnavailable)
	assert.Equal(t, upstreams.deadly, 1)
}

// Guards against a request that lost its upstream taking a second one with it while a part of its prompt is suspected.
func TestSuspectedRequestIsNotSentToSecondUpstream(t *testing.T) {
	for name, want := range map[string]int{"/safe/1": 1, "/safe/2": 2} {
		t.Run(name, func(t *testing.T) {
			vm := newTestVM(t, "north")
			vm.setDocument(nil)
			var sends atomic.Int64
			var all []*fakeUpstream
			for range 2 {
				all = append(all, startUpstream(t, func(net.Conn, *http.Request) bool {
					sends.Add(1)
					return false
				}))
			}
			vm.setUpstreams(all...)
			j := &job{a: vm.answerer, service: "s", info: RequestInfo{Parts: []dispatcher.PromptPart{{ID: "p"}, {ID: "own"}}}}
			if want == 1 {
				vm.answerer.SetSuspicions(netip.AddrPort{}, []isolator.Suspicion{{Part: j.partFingerprints()}})
			}
			assert.Equal(t, vm.sendParts(t, name, "r", "p,own").status, http.StatusBadGateway)
			assert.Equal(t, int(sends.Load()), want)
		})
	}
}

// Guards against a crash between the events of an answer that ends with its connection counting as a completion.
func TestAnswerThatEndsWithItsConnectionProvesNothing(t *testing.T) {
	for text, want := range map[string]int{
		"HTTP/1.1 200 OK\r\nId: ID\r\nSeal: s\r\nConnection: close\r\n\r\ndata: 1\n\n":                            0,
		"HTTP/1.1 200 OK\r\nId: ID\r\nSeal: s\r\nContent-Length: 9\r\n\r\ndata: 1\n\n":                            1,
		"HTTP/1.1 200 OK\r\nId: ID\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n9\r\ndata: 1\n\n\r\n0\r\n\r\n": 1,
	} {
		vm := newTestVM(t, "north")
		vm.setDocument(nil)
		vm.setUpstreams(startUpstream(t, rawResponse(text, false)))
		assert.Equal(t, vm.sendParts(t, "/stream/1", "r", "p,own").status, http.StatusOK)
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if active, _ := vm.answerer.Activity(); active > 0 {
				return poll.Continue("the request is still active")
			}
			return poll.Success()
		})
		assert.Equal(t, len(vm.answerer.parts.completed), want, text)
	}
}

// Guards against missing the crash of an upstream whose answer ends with its connection.
func TestCrashDuringAnswerThatEndsWithItsConnectionIsReported(t *testing.T) {
	vm := newTestVM(t, "north")
	vm.setDocument(nil)
	newCrashingUpstreams(t, vm, "HTTP/1.1 200 OK\r\nId: ID\r\nSeal: s\r\nConnection: close\r\n\r\ndata: 1\n\n")
	assert.Equal(t, vm.sendParts(t, "/stream/1", "r", "first,deadly,own").status, http.StatusOK)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(vm.answerer.Crashes()) == 1 {
			return poll.Success()
		}
		return poll.Continue("the crash is not recorded")
	}, poll.WithTimeout(5*time.Second))
}

// Guards against a deadly part running again because a coordinator was restarted: the VM keeps what it named, and
// returns the evidence to it and to others that lack it.
func TestBlockOutlivesRestartOfCoordinators(t *testing.T) {
	vm := newTestVM(t, "north")
	vm.setDocument(nil)
	newCrashingUpstreams(t, vm, "")
	j := &job{a: vm.answerer, service: "s", info: RequestInfo{Parts: []dispatcher.PromptPart{{ID: "p"}, {ID: "own"}}}}
	crashes := []isolator.UpstreamCrash{{Upstream: 1, Age: time.Second}, {Upstream: 2, Age: 2 * time.Second}, {Upstream: 3, Age: 3 * time.Second}}
	suspicion := isolator.Suspicion{Part: j.partFingerprints(), Blocked: true, Since: 3 * time.Second, Crashes: crashes}
	first, second := netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.1:2")
	vm.answerer.SetSuspicions(first, []isolator.Suspicion{suspicion})
	vm.answerer.SetSuspicions(second, nil)
	assert.Equal(t, len(vm.answerer.Evidence(first)), 0)
	assert.Equal(t, len(vm.answerer.Evidence(second)), 1)
	vm.answerer.CoordinatorRestarted(first)
	assert.Equal(t, vm.sendParts(t, "/unsafe/1", "r1", "p,own").status, http.StatusServiceUnavailable)
	restarted := isolator.NewBlamer()
	for _, evidence := range vm.answerer.Evidence(first) {
		restarted.AddEvidence(time.Now(), evidence)
	}
	suspicions, _ := restarted.Suspicions(time.Now())
	vm.answerer.SetSuspicions(first, suspicions)
	assert.Equal(t, vm.sendParts(t, "/unsafe/1", "r2", "p,own").status, http.StatusServiceUnavailable)
	assert.Equal(t, len(vm.answerer.Evidence(first)), 0)
}
