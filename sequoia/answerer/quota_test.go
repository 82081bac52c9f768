package answerer

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiaspread.example/sequoia/director"
	"sequoiaspread.example/sequoia/fleetserver"
	"sequoiaspread.example/sequoia/lessor"
)

// limitTo gives the callers with key "k" a rate limit in requests.
func limitTo(rate float64) func(d *director.Document) {
	return func(d *director.Document) {
		d.Organisations = []director.Organisation{{
			Name: "o", KeyDigests: []director.KeyDigest{director.DigestKey("k")}, Limit: director.RateLimit{Rate: rate, Burst: 1},
		}}
	}
}

func withKey(request *http.Request) { request.Header.Set("Key", "k") }

// leaseAll gives a VM the whole limit, from a time on.
func (vm *testVM) leaseAll(sequence uint64) {
	report := vm.answerer.DemandReport()
	vm.answerer.ApplyLease(time.Now(), report, lessor.Grant{Term: 1, Sequence: sequence, Fleet: 1, Shares: []int64{lessor.Scale}})
}

// Guards against requests over the limit that reach an upstream, and against a caller that comes back after the time it
// was told and is refused again.
func TestRequestOverTheLimitIsRefusedUntilThereIsRoom(t *testing.T) {
	upstream := startUpstream(t, rawResponse(completeResponse, true))
	vm := newTestVM(t, "north")
	vm.setDocument(limitTo(0.7))
	vm.setUpstreams(upstream)
	assert.Equal(t, vm.sendWith(t, "/safe/1", "r1", withKey).status, http.StatusOK)
	vm.leaseAll(1)
	refused := vm.sendWith(t, "/safe/1", "r2", withKey)
	assert.Equal(t, refused.status, http.StatusTooManyRequests)
	assert.Equal(t, upstream.requests.Load(), int64(1))
	after, err := time.ParseDuration(refused.header.Get("Come-Back"))
	assert.NilError(t, err)
	assert.Assert(t, after > 500*time.Millisecond && after < 3*time.Second, "%v", after)
	time.Sleep(after)
	assert.Equal(t, vm.sendWith(t, "/safe/1", "r3", withKey).status, http.StatusOK)
}

// Guards against a request that is refused although the share it needs arrives while it could wait.
func TestRequestWaitsForAShare(t *testing.T) {
	vm := newTestVM(t, "north")
	vm.setDocument(limitTo(5))
	vm.setUpstreams(startUpstream(t, rawResponse(completeResponse, true)))
	vm.answerer.ApplyLease(time.Now(), nil, lessor.Grant{Term: 1, Fleet: 100})
	assert.Equal(t, vm.sendWith(t, "/safe/1", "r1", withKey).status, http.StatusOK)
	time.AfterFunc(150*time.Millisecond, func() { vm.leaseAll(1) })
	assert.Equal(t, vm.sendWith(t, "/safe/1", "r2", withKey).status, http.StatusOK)
}

// Guards against units that are lost with a request that has not run, and against a forwarded request that counts at the
// VM which receives it as well.
func TestOnlyRequestsThatRunCountAndOnlyOnce(t *testing.T) {
	upstream := startUpstream(t, rawResponse(completeResponse, true))
	here, there := newTestVM(t, "north"), newTestVM(t, "south")
	for _, vm := range []*testVM{here, there} {
		vm.setDocument(limitTo(0.01))
	}
	for range 3 {
		assert.Equal(t, here.sendWith(t, "/safe/1", "r1", withKey).status, http.StatusServiceUnavailable)
	}
	there.setUpstreams(upstream)
	here.answerer.SetFleet([]fleetserver.EntryVM{here.entry(), there.entry()})
	here.answerer.SetLoads(map[string]fleetserver.Loads{"south": {"s": {}}})
	assert.Equal(t, here.sendWith(t, "/safe/1", "r2", withKey).status, http.StatusOK)
	assert.Equal(t, here.sendWith(t, "/safe/1", "r3", withKey).status, http.StatusTooManyRequests)
	assert.Equal(t, there.sendWith(t, "/safe/1", "r4", withKey).status, http.StatusOK, "the forwarded request took its unit")
}

// Guards against a request that occupies a slot, and delays others, after a document has made it impossible.
func TestHoldEndsOnceTheRequestIsImpossible(t *testing.T) {
	vm := newTestVM(t, "north")
	limitTokens := func(rate float64) func(d *director.Document) {
		return func(d *director.Document) {
			limitTo(rate)(d)
			d.Organisations[0].Limit.CountsTokens, d.Organisations[0].Limit.PlainUnits = true, 200_000
		}
	}
	vm.setDocument(limitTokens(1e6))
	vm.setUpstreams(startUpstream(t, rawResponse(completeResponse, true)))
	vm.answerer.ApplyLease(time.Now(), nil, lessor.Grant{Term: 1, Fleet: 100})
	time.AfterFunc(300*time.Millisecond, func() { vm.setDocument(limitTokens(1)) })
	begin := time.Now()
	assert.Equal(t, vm.sendWith(t, "/safe/1", "r1", withKey).status, http.StatusTooManyRequests)
	took := time.Since(begin)
	assert.Assert(t, took > 250*time.Millisecond && took < 600*time.Millisecond, "%v", took)
}

// Guards against an organisation far over its limit that takes the slots of all others.
func TestOrganisationHasItsOwnCapOfHeldRequests(t *testing.T) {
	vm := newTestVM(t, "north")
	vm.setDocument(limitTo(0.01))
	vm.setUpstreams(startUpstream(t, rawResponse(completeResponse, true)))
	vm.answerer.ApplyLease(time.Now(), nil, lessor.Grant{Term: 1, Fleet: 100})
	var running sync.WaitGroup
	for range 100 {
		running.Go(func() { vm.sendWith(t, "/safe/1", "r1", withKey) })
	}
	q, most := vm.answerer.quota, 0
	for range 40 {
		time.Sleep(10 * time.Millisecond)
		q.mu.Lock()
		most = max(most, q.held)
		q.mu.Unlock()
	}
	running.Wait()
	assert.Equal(t, most, 64)
	assert.Equal(t, q.held, 0)
}

// Guards against a returned unit or a lease reply that wakes the waiting requests of organisations it does not concern.
func TestQuotaWakesOnlyTheOrganisationsConcerned(t *testing.T) {
	q, now := newQuota(time.Now(), nil), time.Now()
	q.apply(now, now, nil, lessor.Grant{Term: 1, Fleet: 2})
	woken := func(changed <-chan struct{}) bool {
		select {
		case <-changed:
			return true
		default:
			return false
		}
	}
	o, p := q.change("o"), q.change("p")
	q.notify("o")
	assert.Assert(t, woken(o) && !woken(p))
	o = q.change("o")
	q.apply(now, now, nil, lessor.Grant{Term: 1, Fleet: 2})
	assert.Assert(t, !woken(o) && !woken(p))
	q.apply(now, now, &lessor.Report{Organisations: []string{"o"}}, lessor.Grant{Term: 1, Fleet: 2})
	assert.Assert(t, woken(o) && !woken(p))
	q.apply(now, now, nil, lessor.Grant{Term: 1, Fleet: 3})
	assert.Assert(t, woken(p), "a change of the fleet concerns all")
}
