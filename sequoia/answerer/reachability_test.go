package answerer

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiaspread.example/sequoia/allotter"
	"sequoiaspread.example/sequoia/director"
	"sequoiaspread.example/sequoia/fleetserver"
)

// Guards against every request trying a partitioned region: on day scale-1 of the grown Guild deployment, 130 requests
// per second waited in vain for a connection while two regions were partitioned from each other.
func TestPartitionedRegionIsProbedByOneRequest(t *testing.T) {
	fleet := []fleetserver.EntryVM{{Name: "a", Region: "north"}, {Name: "b", Region: "north"}, {Name: "c", Region: "north"}}
	now := time.Unix(1000, 0)
	r := newReachability()
	assert.Equal(t, len(r.usable(now, "north", fleet)), 3)
	r.recordFailure(now, "a")
	assert.Equal(t, len(r.usable(now, "north", fleet)), 2, "one unreachable VM marks its region as partitioned")
	r.recordFailure(now, "b")
	assert.Equal(t, len(r.usable(now, "north", fleet)), 0)
	now = now.Add(unreachableBackoff + time.Millisecond)
	assert.Equal(t, len(r.usable(now, "north", fleet)), 3)
	r.recordProbe(now, "north", fleet)
	assert.Equal(t, len(r.usable(now, "north", fleet)), 0, "a second request probes the region")
	assert.Equal(t, len(r.usable(now, "west", fleet[:1])), 1)
	now = now.Add(unreachableBackoff + time.Millisecond)
	r.recordProbe(now, "north", fleet)
	r.recordSuccess(fleet, target{name: "c", region: "north"})
	assert.Equal(t, len(r.usable(now, "north", fleet)), 3, "the region is still treated as partitioned")
}

// Guards against every request trying a VM whose process is down, each for a round trip between regions.
func TestVMThatRefusedIsTriedByOneRequest(t *testing.T) {
	fleet := []fleetserver.EntryVM{{Name: "a", Region: "north"}, {Name: "b", Region: "north"}}
	now := time.Unix(1000, 0)
	r := newReachability()
	r.recordRefusal(now, fleet, target{name: "a", region: "north"})
	r.recordRefusal(now, fleet, target{name: "b", region: "north"})
	assert.Equal(t, len(r.usable(now, "north", fleet)), 0)
	now = now.Add(refusedBackoff + time.Millisecond)
	assert.Equal(t, len(r.usable(now, "north", fleet)), 2)
	r.recordAttempt(now, "a")
	left := r.usable(now, "north", fleet)
	assert.Assert(t, len(left) == 1 && left[0].Name == "b", "%v", left)
	r.recordSuccess(fleet, target{name: "a", region: "north"})
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
	descriptor, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = syscall.Close(descriptor) })
	assert.NilError(t, syscall.Bind(descriptor, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	assert.NilError(t, syscall.Listen(descriptor, 0))
	name, err := syscall.Getsockname(descriptor)
	assert.NilError(t, err)
	bound := name.(*syscall.SockaddrInet4)
	address := netip.AddrPortFrom(netip.AddrFrom4(bound.Addr), uint16(bound.Port))
	for {
		conn, err := net.DialTimeout("tcp", address.String(), 100*time.Millisecond)
		if err != nil {
			return address
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
	assert.Equal(t, len(here.answerer.reachability.failedAt), 0)
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
