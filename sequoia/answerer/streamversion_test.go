package answerer

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiaspread.example/sequoia/director"
	"sequoiaspread.example/sequoia/dispatcher"
	"sequoiaspread.example/sequoia/fleetserver"
	"sequoiaspread.example/sequoia/pinner"
)

// streamRest is what an upstream sends of a stream after its first event.
const (
	streamRest  = "id: 2\ndata: b\n\n"
	wholeStream = firstEvent + streamRest
)

// versionedUpstream is an upstream that runs a version of the software.
type versionedUpstream struct {
	*fakeUpstream
	version string
	// takenUp counts the streams that it took up.
	takenUp *atomic.Int64
}

// breakingUpstream runs v1, sends the first event of a stream and breaks off. It refuses to take up one.
func breakingUpstream(t *testing.T) versionedUpstream {
	return versionedUpstream{version: "v1", fakeUpstream: startUpstream(t, func(conn net.Conn, request *http.Request) bool {
		if request.Header.Get("Last") != "" {
			return rawResponse(refusalWithID, true)(conn, request)
		}
		return rawResponse(streamStart+chunk(firstEvent), false)(conn, request)
	})}
}

// resumingUpstream refuses to begin a stream, and takes up any.
func resumingUpstream(t *testing.T, version string) versionedUpstream {
	takenUp := &atomic.Int64{}
	return versionedUpstream{version: version, takenUp: takenUp, fakeUpstream: startUpstream(t, func(conn net.Conn, request *http.Request) bool {
		if request.Header.Get("Last") == "" {
			return rawResponse(refusalWithID, true)(conn, request)
		}
		takenUp.Add(1)
		return rawResponse(streamStart+chunk(streamRest)+"0\r\n\r\n", true)(conn, request)
	})}
}

func chunk(text string) string {
	return strconv.FormatInt(int64(len(text)), 16) + "\r\n" + text + "\r\n"
}

func (vm *testVM) setVersionedUpstreams(all ...versionedUpstream) {
	var list []dispatcher.Upstream
	for _, u := range all {
		list = append(list, dispatcher.Upstream{
			ID: u.address.String(), Service: "s", Zone: vm.answerer.config.Self.Zone, Slots: 4, Address: u.address, Version: u.version,
		})
	}
	vm.answerer.SetUpstreams(list)
}

func resumable(d *director.Document) {
	d.Routes[2].Resumable = true
	d.Routes[2].Attempts = 4
}

// takeUp sends the attempt of a caller that goes on with the stream of attempt r1 after its first event.
func (vm *testVM) takeUp(t *testing.T, id string) callResult {
	t.Helper()
	return vm.sendWith(t, "/stream/1", id, func(request *http.Request) {
		request.Header.Set("Last", "1")
		request.Header.Set("Resumes", "r1")
	})
}

// Guards against a stream that breaks off and goes on at another version within the same answer.
func TestStreamJoinedFromTwoVersionsInOneAnswer(t *testing.T) {
	for name, same := range map[string]bool{"none of its version": false, "another of its version": true} {
		t.Run(name, func(t *testing.T) {
			vm := newTestVM(t, "north")
			vm.setDocument(resumable)
			other := resumingUpstream(t, "v2")
			upstreams := []versionedUpstream{breakingUpstream(t), other}
			if same {
				upstreams = append(upstreams, resumingUpstream(t, "v1"))
			}
			vm.setVersionedUpstreams(upstreams...)
			got := vm.send(t, "/stream/1", "r1")
			if same {
				assert.NilError(t, got.err)
				assert.Equal(t, got.body, wholeStream)
				return
			}
			assert.Assert(t, got.err != nil, "the stream went on: %q", got.body)
			assert.Assert(t, strings.HasPrefix(firstEvent, got.body), "%q", got.body)
		})
	}
}

// Guards against a stream that a caller takes up and that goes on at another version than the one that began it.
func TestStreamJoinedFromTwoVersionsByTakeUp(t *testing.T) {
	vm := newTestVM(t, "north")
	vm.setDocument(resumable)
	begins := breakingUpstream(t)
	vm.setVersionedUpstreams(begins)
	vm.send(t, "/stream/1", "r1")
	assert.Equal(t, begins.requests.Load() > 0, true)

	newer := resumingUpstream(t, "v2")
	vm.setVersionedUpstreams(newer)
	got := vm.takeUp(t, "r2")
	assert.Equal(t, got.status, http.StatusServiceUnavailable, "%q", got.body)
	assert.Equal(t, newer.requests.Load(), int64(0))

	vm.setVersionedUpstreams(newer, resumingUpstream(t, "v1"))
	got = vm.takeUp(t, "r3")
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, streamRest)
	assert.Equal(t, newer.requests.Load(), int64(0))
}

// Guards against a stream that goes on at another version in another region, where its VM does not know what began it.
func TestStreamJoinedFromTwoVersionsByForwarding(t *testing.T) {
	here, far := newNamedTestVM(t, "north", "entry-north"), newNamedTestVM(t, "south", "entry-south")
	for _, vm := range []*testVM{here, far} {
		vm.setDocument(func(d *director.Document) {
			resumable(d)
			d.Routes[2].HomeRegions = []string{"south"}
		})
	}
	here.answerer.SetFleet([]fleetserver.EntryVM{here.entry(), far.entry()})
	begins, newer := breakingUpstream(t), resumingUpstream(t, "v2")
	far.setVersionedUpstreams(begins, newer)
	got := here.send(t, "/stream/1", "r1")
	assert.Assert(t, got.err != nil || got.status == http.StatusServiceUnavailable, "the stream went on: %q", got.body)
	got = here.takeUp(t, "r2")
	assert.Equal(t, got.status, http.StatusServiceUnavailable, "%q", got.body)
	assert.Equal(t, newer.takenUp.Load(), int64(0))

	far.setVersionedUpstreams(newer, resumingUpstream(t, "v1"))
	got = here.takeUp(t, "r3")
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, streamRest)
	assert.Equal(t, got.header.Get(headerVersion), "", "the version is no business of callers")
}

// Guards against a caller that takes up a stream of which no VM and no coordinator knows the version, while several serve,
// and against refusing it while there is a single one.
func TestTakeUpOfUnknownStream(t *testing.T) {
	for name, test := range map[string]struct {
		versions []string
		finder   StreamFinder
		status   int
	}{
		"two versions":             {[]string{"v1", "v2"}, nil, http.StatusServiceUnavailable},
		"a single version, young":  {[]string{"v1"}, nil, http.StatusServiceUnavailable},
		"known to a coordinator":   {[]string{"v1", "v2"}, fixedFinder{version: "v1", known: true}, http.StatusOK},
		"unknown to coordinators":  {[]string{"v1", "v2"}, fixedFinder{}, http.StatusServiceUnavailable},
		"version that serves none": {[]string{"v1"}, fixedFinder{version: "v0", known: true}, http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			vm := newTestVM(t, "north")
			vm.setDocument(resumable)
			if test.finder != nil {
				vm.answerer.SetStreamFinder(test.finder)
			}
			var upstreams []versionedUpstream
			for _, version := range test.versions {
				upstreams = append(upstreams, resumingUpstream(t, version))
			}
			vm.setVersionedUpstreams(upstreams...)
			assert.Equal(t, vm.takeUp(t, "r2").status, test.status)
			if len(upstreams) > 1 {
				assert.Equal(t, upstreams[1].requests.Load(), int64(0))
			}
		})
	}
}

// fixedFinder gives the same answer to each question.
type fixedFinder struct {
	version string
	known   bool
}

// FindStream returns the fixed answer.
func (f fixedFinder) FindStream(context.Context, string, pinner.Key) (string, bool) {
	return f.version, f.known
}

// Guards against streams that the coordinators are not told of: those that began before the second version came, and
// those that no coordinator took at first.
func TestStreamsArePublishedWhileVersionsAreMixed(t *testing.T) {
	young, vm := newTestVM(t, "north"), newTestVM(t, "north")
	vm.answerer.pins = newStreamPins(time.Now().Add(-pinner.Memory))
	vm.answerer.ConfirmVersions(time.Now().Add(time.Minute))
	begins := breakingUpstream(t)
	for _, each := range []*testVM{young, vm} {
		each.setDocument(resumable)
		each.setVersionedUpstreams(begins)
	}
	young.send(t, "/stream/1", "r0")
	assert.Equal(t, len(young.answerer.TakeStreamRecords()), 1, "it does not know whether there was another version")
	assert.Assert(t, !young.answerer.KnowsSoleVersions(young.answerer.Versions()))
	assert.Assert(t, vm.answerer.KnowsSoleVersions(vm.answerer.Versions()))
	vm.send(t, "/stream/1", "r1")
	assert.Equal(t, len(vm.answerer.TakeStreamRecords()), 0, "a single version needs no records")
	vm.setVersionedUpstreams(begins, resumingUpstream(t, "v2"))
	records := vm.answerer.TakeStreamRecords()
	assert.DeepEqual(t, records, []pinner.Record{{Key: pinner.KeyOf("r1"), Service: "s", Version: "v1"}})
	vm.answerer.PutBackStreamRecords(records)
	assert.DeepEqual(t, vm.answerer.TakeStreamRecords(), records)
	assert.Equal(t, len(vm.answerer.TakeStreamRecords()), 0)
}

// Guards against a VM that was paused or cut off, or is one heartbeat behind, and takes the version that it has seen for
// the only one: a stream of another version goes on at that one.
func TestStreamJoinedFromTwoVersionsByAVMOutOfStep(t *testing.T) {
	vm := newTestVM(t, "north")
	vm.answerer.pins = newStreamPins(time.Now().Add(-pinner.Memory))
	vm.setDocument(resumable)
	vm.answerer.SetStreamFinder(fixedFinder{version: "v2", known: true})
	older := resumingUpstream(t, "v1")
	vm.setVersionedUpstreams(older)
	assert.Equal(t, vm.takeUp(t, "r2").status, http.StatusServiceUnavailable)
	assert.Equal(t, older.requests.Load(), int64(0))
}

// Guards against a VM that refuses to go on with streams while it is confirmed that there is a single version.
func TestTakeUpWhileASingleVersionIsConfirmed(t *testing.T) {
	vm := newTestVM(t, "north")
	vm.answerer.pins = newStreamPins(time.Now().Add(-pinner.Memory))
	vm.setDocument(resumable)
	vm.setVersionedUpstreams(resumingUpstream(t, "v1"))
	assert.Equal(t, vm.takeUp(t, "r2").status, http.StatusServiceUnavailable, "nothing is confirmed")
	vm.answerer.ConfirmVersions(time.Now().Add(-time.Millisecond))
	assert.Equal(t, vm.takeUp(t, "r3").status, http.StatusServiceUnavailable, "the confirmation has run out")
	assert.Assert(t, !vm.answerer.KnowsSoleVersions(vm.answerer.Versions()))
	vm.answerer.ConfirmVersions(time.Now().Add(time.Minute))
	assert.Assert(t, vm.answerer.KnowsSoleVersions(vm.answerer.Versions()))
	assert.Equal(t, vm.takeUp(t, "r4").status, http.StatusOK)
}

// Guards against streams that begin at a version of which another VM may not know yet, so that they go on at another one
// there, and against other requests that wait for that.
func TestStreamBeganAtANewVersion(t *testing.T) {
	vm := newTestVM(t, "north")
	vm.setDocument(resumable)
	vm.answerer.AwaitEstablishedVersions()
	newer := breakingUpstream(t)
	vm.setVersionedUpstreams(newer)
	assert.Equal(t, vm.send(t, "/stream/1", "r1").status, http.StatusServiceUnavailable)
	assert.Equal(t, newer.requests.Load(), int64(0))
	vm.send(t, "/safe/1", "r2")
	others := newer.requests.Load()
	assert.Assert(t, others > 0)

	vm.answerer.SetEstablishedVersions(dispatcher.EstablishedVersions{"s": {"v1": time.Now().Add(time.Minute)}})
	assert.Equal(t, vm.send(t, "/stream/1", "r3").status, http.StatusServiceUnavailable)
	assert.Equal(t, newer.requests.Load(), others)
	vm.answerer.SetEstablishedVersions(dispatcher.EstablishedVersions{"s": {"v1": time.Now()}})
	vm.send(t, "/stream/1", "r4")
	assert.Assert(t, newer.requests.Load() > others)
}

// Guards against callers in a region that is cut off who cannot go on with their streams at another VM: nobody confirms
// there that a single version serves.
func TestStreamsArePublishedWhileVersionsAreNotConfirmed(t *testing.T) {
	vm := newTestVM(t, "north")
	vm.answerer.pins = newStreamPins(time.Now().Add(-pinner.Memory))
	vm.answerer.ConfirmVersions(time.Now().Add(-unconfirmedDelay / 2))
	vm.setDocument(resumable)
	vm.setVersionedUpstreams(breakingUpstream(t))
	vm.send(t, "/stream/1", "r1")
	assert.Equal(t, len(vm.answerer.TakeStreamRecords()), 0, "the next confirmation may only be late")
	vm.answerer.ConfirmVersions(time.Now().Add(-2 * unconfirmedDelay))
	vm.answerer.SeeVersions(vm.answerer.Versions())
	assert.DeepEqual(t, vm.answerer.TakeStreamRecords(), []pinner.Record{{Key: pinner.KeyOf("r1"), Service: "s", Version: "v1"}})
}
