package answerer

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiaspread.example/sequoia/allotter"
	"sequoiaspread.example/sequoia/director"
	"sequoiaspread.example/sequoia/fleetserver"
	"sequoiaspread.example/sequoia/forwarder"
)

// Guards against every request trying a partitioned region: on day scale-1 of the grown Guild deployment, 130 requests
// per second waited in vain for a connection while two regions were partitioned from each other.
func TestPartitionedRegionIsProbedByOneRequest(t *testing.T) {
	fleet := []fleetserver.EntryVM{{Name: "a", Region: "north"}, {Name: "b", Region: "north"}, {Name: "c", Region: "north"}}
	now := time.Unix(1000, 0)
	r := newReachability()
	assert.Equal(t, len(r.usable(now, "north", fleet)), 3)
	r.recordFailure(now, now, target{name: "a", region: "north"})
	assert.Equal(t, len(r.usable(now, "north", fleet)), 2, "one unreachable VM marks its region as partitioned")
	r.recordFailure(now, now, target{name: "b", region: "north"})
	assert.Equal(t, len(r.usable(now, "north", fleet)), 0)
	now = now.Add(unreachableBackoff + time.Millisecond)
	assert.Equal(t, len(r.usable(now, "north", fleet)), 3)
	r.recordProbe(now, "north", fleet)
	assert.Equal(t, len(r.usable(now, "north", fleet)), 0, "a second request probes the region")
	assert.Equal(t, len(r.usable(now, "west", fleet[:1])), 1)
	now = now.Add(unreachableBackoff + time.Millisecond)
	r.recordProbe(now, "north", fleet)
	r.recordSuccess(now, target{name: "c", region: "north"})
	assert.Equal(t, len(r.usable(now, "north", fleet)), 3, "the region is still treated as partitioned")
}

// Guards against every request trying a VM whose process is down, each for a round trip between regions.
func TestVMThatRefusedIsTriedByOneRequest(t *testing.T) {
	fleet := []fleetserver.EntryVM{{Name: "a", Region: "north"}, {Name: "b", Region: "north"}}
	now := time.Unix(1000, 0)
	r := newReachability()
	r.recordRefusal(now, now, target{name: "a", region: "north"})
	r.recordRefusal(now, now, target{name: "b", region: "north"})
	assert.Equal(t, len(r.usable(now, "north", fleet)), 0)
	now = now.Add(refusedBackoff + time.Millisecond)
	assert.Equal(t, len(r.usable(now, "north", fleet)), 2)
	r.recordAttempt(now, "a")
	left := r.usable(now, "north", fleet)
	assert.Assert(t, len(left) == 1 && left[0].Name == "b", "%v", left)
	r.recordSuccess(now, target{name: "a", region: "north"})
	r.recordAttempt(now, "a")
	assert.Equal(t, len(r.usable(now, "north", fleet)), 2, "it has responded")
}

// homeInNorth is a document whose routes have their home in the region north.
func homeInNorth(d *director.Document) {
	for i := range d.Routes {
		d.Routes[i].HomeRegions = []string{"north"}
	}
}

// deadVM returns a VM whose process is down: its machine refuses connections.
func deadVM(t *testing.T, name string) fleetserver.EntryVM {
	t.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := netip.MustParseAddrPort(socket.Addr().String())
	assert.NilError(t, socket.Close())
	return fleetserver.EntryVM{Name: name, Region: "north", PeerAddress: address}
}

// silentAddress returns an address at which connections are neither accepted nor refused: its queue is full.
func silentAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	address, descriptor := silentSocket(t)
	t.Cleanup(func() { _ = syscall.Close(descriptor) })
	return address
}

// silentSocket returns an address at which connections are neither accepted nor refused until the descriptor is closed.
func silentSocket(t *testing.T) (netip.AddrPort, int) {
	t.Helper()
	descriptor, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	assert.NilError(t, err)
	assert.NilError(t, syscall.SetsockoptInt(descriptor, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1))
	assert.NilError(t, syscall.Bind(descriptor, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	assert.NilError(t, syscall.Listen(descriptor, 0))
	name, err := syscall.Getsockname(descriptor)
	assert.NilError(t, err)
	bound := name.(*syscall.SockaddrInet4)
	address := netip.AddrPortFrom(netip.AddrFrom4(bound.Addr), uint16(bound.Port))
	for {
		conn, err := net.DialTimeout("tcp", address.String(), 100*time.Millisecond)
		if err != nil {
			return address, descriptor
		}
		t.Cleanup(func() { _ = conn.Close() })
	}
}

// reuseTarget is the time within which VMs that have started again get requests.
const reuseTarget = 500 * time.Millisecond

// Guards against a region that counts as partitioned because the processes of its VMs were restarted at once: requests and
// streams that callers take up were refused for 2 s after they were back.
func TestRestartedVMsGetRequests(t *testing.T) {
	here, far := newTestVM(t, "south"), newTestVM(t, "north")
	here.setDocument(homeInNorth)
	far.setDocument(homeInNorth)
	far.setUpstreams(startUpstream(t, rawResponse(completeResponse, true)))
	fleet := []fleetserver.EntryVM{deadVM(t, "a"), deadVM(t, "b")}
	here.answerer.SetFleet(fleet)
	for range 4 {
		assert.Equal(t, here.send(t, "/safe/1", "r1").status, http.StatusServiceUnavailable)
	}
	for _, entry := range fleet {
		socket, err := net.Listen("tcp", entry.PeerAddress.String())
		assert.NilError(t, err)
		server := &http.Server{Handler: far.answerer.PeerHandler()}
		go func() { _ = server.Serve(socket) }()
		t.Cleanup(func() { _ = server.Close() })
	}
	time.Sleep(reuseTarget)
	assert.Equal(t, here.send(t, "/safe/1", "r2").status, http.StatusOK)
}

// Guards against timeouts that are known late and outdate evidence of later connections: a region whose VMs had refused
// connections meanwhile counted as partitioned for 2 s.
func TestLateTimeoutDoesNotOutdateLaterEvidence(t *testing.T) {
	a, b := target{name: "a", region: "north"}, target{name: "b", region: "north"}
	fleet := []fleetserver.EntryVM{{Name: "a", Region: "north"}, {Name: "b", Region: "north"}}
	triedAt := time.Unix(1000, 0)
	now := triedAt.Add(450 * time.Millisecond)
	for name, test := range map[string]struct {
		evidence func(r *reachability)
		usable   int
	}{
		"none":              {func(*reachability) {}, 0},
		"earlier answer":    {func(r *reachability) { r.recordSuccess(triedAt.Add(-1), a) }, 0},
		"later refusal":     {func(r *reachability) { r.recordRefusal(triedAt.Add(1), triedAt.Add(1), a) }, 1},
		"later answer":      {func(r *reachability) { r.recordSuccess(triedAt.Add(1), b) }, 1},
		"answers from both": {func(r *reachability) { r.recordSuccess(triedAt.Add(1), a); r.recordSuccess(triedAt.Add(1), b) }, 2},
	} {
		t.Run(name, func(t *testing.T) {
			r := newReachability()
			test.evidence(r)
			r.recordFailure(now, triedAt, a)
			r.recordFailure(now, triedAt, b)
			assert.Equal(t, len(r.usable(now, "north", fleet)), test.usable)
		})
	}
}

// Guards against memory that grows with each VM that was ever replaced.
func TestVMsThatLeftAreForgotten(t *testing.T) {
	now := time.Unix(1000, 0)
	r := newReachability()
	for _, name := range []string{"a", "b"} {
		vm := target{name: name, region: "north"}
		r.recordRefusal(now, now, vm)
		r.recordFailure(now, now.Add(1), vm)
	}
	r.retain([]fleetserver.EntryVM{{Name: "b", Region: "north"}})
	assert.Equal(t, len(r.failed)+len(r.refusedAt)+len(r.vmContactAt), 3)
	assert.Equal(t, len(r.usable(now, "north", []fleetserver.EntryVM{{Name: "a", Region: "north"}, {Name: "b", Region: "north"}})), 1)
}

// restart starts a process with a handler at an address that was silent.
func restart(t *testing.T, descriptor int, address netip.AddrPort, handler http.Handler) {
	t.Helper()
	assert.NilError(t, syscall.Close(descriptor))
	socket, err := net.Listen("tcp", address.String())
	assert.NilError(t, err)
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(socket) }()
	t.Cleanup(func() { _ = server.Close() })
}

// Guards against a region that gets no requests for 2 s after a connection to each of its VMs timed out at the moment in
// which their processes ended, although they are back and nothing but a request would show it: callers that took up
// streams were refused until they gave up.
func TestRegionIsUsedAgainWhenItsVMsAreBack(t *testing.T) {
	here, far := newTestVM(t, "south"), newTestVM(t, "north")
	here.setDocument(homeInNorth)
	far.setDocument(homeInNorth)
	far.setUpstreams(startUpstream(t, rawResponse(completeResponse, true)))
	var fleet []fleetserver.EntryVM
	var descriptors []int
	for _, name := range []string{"a", "b"} {
		address, descriptor := silentSocket(t)
		fleet = append(fleet, fleetserver.EntryVM{Name: name, Region: "north", PeerAddress: address})
		descriptors = append(descriptors, descriptor)
	}
	here.answerer.SetFleet(fleet)
	var requests sync.WaitGroup
	for i := range 16 {
		requests.Go(func() { here.send(t, "/safe/1", fmt.Sprint("r", i)) })
	}
	requests.Wait()
	assert.Equal(t, len(here.answerer.reachability.usable(time.Now(), "north", fleet)), 0)
	for i, descriptor := range descriptors {
		restart(t, descriptor, fleet[i].PeerAddress, far.answerer.PeerHandler())
	}
	time.Sleep(reuseTarget)
	assert.Equal(t, here.send(t, "/safe/1", "last").status, http.StatusOK)
}

// Guards against an error that is no timeout and counts as a partition: a process that is ending resets connections, and a
// VM without descriptors opens none.
func TestOnlyTimeoutsCountAsPartition(t *testing.T) {
	for err, want := range map[error][2]bool{
		syscall.ECONNREFUSED: {true, false}, syscall.ECONNRESET: {true, false}, syscall.EMFILE: {false, false},
		os.ErrDeadlineExceeded: {false, true}, syscall.EHOSTUNREACH: {false, true},
	} {
		wrapped := &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", err)}
		assert.Equal(t, [2]bool{forwarder.PeerAnswered(wrapped), forwarder.PeerSilent(wrapped)}, want, "%v", err)
	}
}

// Guards against requests that are refused because one VM of their home region is down while another serves.
func TestRequestGoesToAnotherVMOfTheRegion(t *testing.T) {
	for range 5 {
		here, far := newTestVM(t, "south"), newTestVM(t, "north")
		here.setDocument(homeInNorth)
		far.setDocument(homeInNorth)
		far.setUpstreams(startUpstream(t, rawResponse(completeResponse, true)))
		here.answerer.SetFleet([]fleetserver.EntryVM{deadVM(t, "a"), deadVM(t, "b"), far.entry()})
		assert.Equal(t, here.send(t, "/unsafe/1", "r1").status, http.StatusOK)
	}
}

// Guards against a caller that leaves while a connection is being established, and makes its VM count as unreachable.
func TestCallerThatLeavesSaysNothingAboutVMs(t *testing.T) {
	here := newTestVM(t, "south")
	here.setDocument(homeInNorth)
	silent := fleetserver.EntryVM{Name: "a", Region: "north", PeerAddress: silentAddress(t)}
	here.answerer.SetFleet([]fleetserver.EntryVM{silent})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, here.callers.URL+"/safe/1", nil)
	assert.NilError(t, err)
	request.Host = "x.example"
	request.Header.Set("Id", "r1")
	_, err = http.DefaultClient.Do(request)
	assert.Assert(t, err != nil)
	time.Sleep(50 * time.Millisecond)
	assert.Equal(t, len(here.answerer.reachability.failed), 0)
}

// Guards against requests that are refused because one VM of their home region is stopping or has just started, while
// another serves.
func TestRefusalOfAVMDoesNotRuleOutItsRegion(t *testing.T) {
	for name, refuse := range map[string]func(vm *testVM){
		"stopping":    func(vm *testVM) { vm.answerer.Drain(time.Now(), time.Now()) },
		"no document": func(vm *testVM) { vm.answerer.document.Store(nil) },
		"no memory":   func(vm *testVM) { vm.answerer.memory = allotter.New(allotter.Config{}) },
	} {
		t.Run(name, func(t *testing.T) {
			for range 5 {
				here, far, other := newTestVM(t, "south"), newNamedTestVM(t, "north", "a"), newNamedTestVM(t, "north", "b")
				for _, vm := range []*testVM{here, far, other} {
					vm.setDocument(homeInNorth)
					vm.setUpstreams(startUpstream(t, rawResponse(completeResponse, true)))
				}
				refuse(other)
				here.answerer.SetFleet([]fleetserver.EntryVM{far.entry(), other.entry()})
				assert.Equal(t, here.send(t, "/unsafe/1", "r1").status, http.StatusOK)
			}
		})
	}
}
