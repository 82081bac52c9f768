package answerer

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiaspread.example/sequoia/dispatcher"
	"sequoiaspread.example/sequoia/fleetserver"
)

// Guards against what is not known of a region counting as idle: one that no coordinator reports, one whose report is old,
// and a service that has no upstream there.
func TestUnknownRegionIsNotIdle(t *testing.T) {
	now := time.Unix(1000, 0)
	r := newRegionLoads()
	assert.Equal(t, r.pressure(now, "north", "s"), unknownPressure)
	r.set(now, map[string]fleetserver.Loads{"north": {"s": {Pressure: 30}}})
	assert.Equal(t, r.pressure(now, "north", "s"), 0.3)
	assert.Equal(t, r.pressure(now, "north", "other"), float64(dispatcher.UnavailablePressure))
	later := now.Add(regionLoadMaxAge)
	r.set(later, map[string]fleetserver.Loads{"west": {"s": {Pressure: 10}}})
	assert.Equal(t, r.pressure(later, "north", "s"), 0.3, "a coordinator that does not know the region")
	assert.Equal(t, r.pressure(later.Add(1), "north", "s"), unknownPressure)
	assert.Equal(t, r.pressure(later.Add(1), "west", "s"), 0.1)
}

// Guards against a region that refused a request for want of an upstream getting the next one.
func TestRefusalTeachesTheSender(t *testing.T) {
	now := time.Unix(1000, 0)
	r := newRegionLoads()
	r.set(now, map[string]fleetserver.Loads{"north": {"s": {}, "other": {}}})
	r.recordRefusal(now, "north", "s")
	assert.Equal(t, r.pressure(now.Add(regionRefusalBackoff-1), "north", "s"), float64(dispatcher.UnavailablePressure))
	assert.Equal(t, r.pressure(now, "north", "other"), 0.0)
	assert.Equal(t, r.pressure(now.Add(regionRefusalBackoff), "north", "s"), 0.0)
}

// Guards against requests that are refused while a region has places: this one has no upstream, the next one by its load
// has lost its own, and a third one has one.
func TestRefusedRequestsGoOnToTheNextRegion(t *testing.T) {
	here, empty, free := newTestVM(t, "south"), newTestVM(t, "north"), newTestVM(t, "west")
	for _, vm := range []*testVM{here, empty, free} {
		vm.setDocument(nil)
	}
	u := startUpstream(t, rawResponse(completeResponse, true))
	free.setUpstreams(u)
	here.answerer.SetFleet([]fleetserver.EntryVM{here.entry(), empty.entry(), free.entry()})
	here.answerer.SetLoads(map[string]fleetserver.Loads{"north": {"s": {Pressure: 1}}, "west": {"s": {Pressure: 50}}})
	const requests = 5
	for id := range requests {
		assert.Equal(t, here.send(t, "/unsafe/1", "r"+strconv.Itoa(id)).status, http.StatusOK)
	}
	assert.Equal(t, u.requests.Load(), int64(requests))
	now := time.Now()
	assert.Equal(t, here.answerer.regionLoads.pressure(now, "north", "s"), float64(dispatcher.UnavailablePressure))
}
