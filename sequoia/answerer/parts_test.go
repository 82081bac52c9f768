package answerer

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"sequoiaspread.example/sequoia/dispatcher"
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
