package dispatcher

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func upstream(id string) Upstream {
	return Upstream{ID: id, Service: "s", Zone: "z", Slots: 4, Address: netip.MustParseAddrPort("127.0.0.1:1")}
}

func made(upstreams ...Upstream) *Dispatcher {
	d := New("self", "z")
	d.SetLimits([]Limits{{Service: "s", Engine: true, ColdPerSecond: 7}})
	d.SetFleet([]Member{{Name: "self", Zone: "z"}})
	d.SetUpstreams(start, upstreams)
	return d
}

func ask(i int) Request {
	return Request{ID: fmt.Sprint("r", i), Service: "s", Parts: []PromptPart{{"shared", 5000}, {fmt.Sprint("own", i), 100}}}
}

// Guards against requests for upstreams that are leaving or in an evacuated availability zone.
func TestUnusableUpstreamsGetNothing(t *testing.T) {
	leaving := upstream("a")
	leaving.Leaving = true
	d := made(leaving)
	assert.Equal(t, d.Choose(start, ask(1), nil).Reason, ReasonNoUsableUpstream)
	d = made(upstream("a"))
	d.SetEvacuated([]string{"z"})
	assert.Equal(t, d.Choose(start, ask(1), nil).Reason, ReasonNoUsableUpstream)
	d.SetEvacuated(nil)
	assert.Equal(t, d.Choose(start, ask(1), nil).Reason, ReasonNone)
	assert.Equal(t, d.Choose(start, Request{Service: "other"}, nil).Reason, ReasonNoUpstream)
}

// Guards against a cold upstream getting more requests than all entry VMs together may send, also while two of them
// believe to be its feeder.
func TestColdUpstreamStaysBelowItsRate(t *testing.T) {
	cold := upstream("a")
	cold.Cold = 10 * time.Second
	cold.Slots = 100
	sent := 0
	for range 2 {
		d := made(cold)
		for i := range 100 {
			if d.Choose(start.Add(time.Duration(i)*9*time.Millisecond), ask(i), nil).Reason == ReasonNone {
				sent++
			}
		}
	}
	assert.Assert(t, sent > 0 && sent <= 7, "%d sent", sent)
	d := made(cold)
	d.SetFleet([]Member{{Name: "other"}, {Name: "another"}})
	assert.Equal(t, d.Choose(start, ask(1), nil).Reason, ReasonNoUsableUpstream)
	assert.Equal(t, d.Choose(start.Add(11*time.Second), ask(1), nil).Reason, ReasonNone)
}

// Guards against requests with a common beginning being spread over upstreams that each have to read it, and against
// all of them going to one upstream whose queue costs more than reading again.
func TestSharedPartsKeepTogetherUntilFull(t *testing.T) {
	d := made(upstream("a"), upstream("b"))
	first := d.Choose(start, ask(0), nil)
	d.FirstEvent(first.Upstream.ID, "r0")
	second := d.Choose(start, ask(1), nil)
	assert.Equal(t, second.Upstream.ID, first.Upstream.ID)
	assert.Equal(t, second.Uncached, 100)
	for i := 2; i < 20; i++ {
		d.Choose(start, ask(i), nil)
	}
	assert.Equal(t, d.Choose(start, ask(20), nil).Reason, ReasonFull)
	usage := d.Usage(start, "s")
	assert.Equal(t, usage.Slots, 8)
	assert.Equal(t, usage.Outstanding, 20)
}

// Guards against an upstream that fails or cannot be reached being chosen again and again.
func TestFailingUpstreamIsAvoided(t *testing.T) {
	d := made(upstream("a"))
	choice := d.Choose(start, ask(1), nil)
	d.End(start, choice.Upstream.ID, "r1", ResultUnreachable)
	assert.Equal(t, d.Choose(start, ask(2), nil).Reason, ReasonNoUsableUpstream)
	assert.Equal(t, d.Choose(start.Add(2*time.Second), ask(3), nil).Reason, ReasonNone)
}

// Guards against all entry VMs together sending more again than the operators allow.
func TestBudgetIsShared(t *testing.T) {
	config := RetryBudgetConfig{Ratio: 0.2, Extra: 56, Window: 10 * time.Second}
	const vms = 8
	taken := 0
	for range vms {
		b := NewRetryBudget(config)
		for range 100 {
			b.RecordRequest(start)
			if b.Allow(start, vms) {
				taken++
			}
		}
	}
	assert.Assert(t, taken > 0)
	assert.Assert(t, float64(taken) <= 0.2*vms*100+56, "%d taken", taken)
}

// Guards against entry VMs that know nothing of each other sending a shared beginning to different upstreams, each of
// which then has to read it. Load pattern: many callers of few documents over all VMs.
func TestStrangersAgreeOnTheReader(t *testing.T) {
	var list []Upstream
	for i := range 8 {
		list = append(list, upstream(fmt.Sprint("u", i)))
	}
	chosen := map[string]bool{}
	for range 5 {
		chosen[made(list...).Choose(start, ask(1), nil).Upstream.ID] = true
	}
	assert.Equal(t, len(chosen), 1)
	others := map[string]bool{}
	for i := range 40 {
		request := Request{ID: "r", Service: "s", Parts: []PromptPart{{fmt.Sprint("document", i), 5000}, {"own", 100}}}
		others[made(list...).Choose(start, request, nil).Upstream.ID] = true
	}
	assert.Assert(t, len(others) > 5, "only %d upstreams are used", len(others))
}

// Guards against a long read that holds up many running answers while an upstream with few of them is there. Load
// pattern: long digests beside chats whose pauses count.
func TestLongReadsAvoidRunningAnswers(t *testing.T) {
	busy, calm := upstream("busy"), upstream("calm")
	busy.Slots, calm.Slots = 64, 64
	d := made(busy, calm)
	d.UpdatePeer(start, "other", map[UpstreamKey]Sent{UpstreamKeyOf("busy"): {Requests: 30}, UpstreamKeyOf("calm"): {Requests: 5, Unread: 800 / statedTokens}})
	long := Request{ID: "long", Service: "s", Parts: []PromptPart{{"own", 3000}}}
	assert.Equal(t, d.Choose(start, long, nil).Upstream.ID, "calm")
}

// Guards against requests that another VM has at an upstream counting for ever after that VM fell silent.
func TestSilentPeersAreForgotten(t *testing.T) {
	d := made(upstream("a"))
	d.SetFleet([]Member{{Name: "self"}, {Name: "other"}})
	assert.Assert(t, d.HasStalePeer(start))
	d.UpdatePeer(start, "other", map[UpstreamKey]Sent{UpstreamKeyOf("a"): {Requests: 10, Unread: 5}})
	assert.Assert(t, !d.HasStalePeer(start))
	assert.Equal(t, d.Choose(start, ask(1), nil).Reason, ReasonFull)
	assert.Equal(t, d.Choose(start.Add(2*peerTimeout), ask(1), nil).Reason, ReasonNone)
}

// Guards against a region that looks half empty by its slots while its upstreams do nothing but read prompts. Load
// pattern: a peak of long digests in one region.
func TestReadingCountsAsPressure(t *testing.T) {
	d := made(upstream("a"), upstream("b"))
	assert.Equal(t, d.Usage(start, "s").Pressure(), 0.0)
	for i := range 40 {
		now := start.Add(time.Duration(i) * 100 * time.Millisecond)
		request := Request{ID: fmt.Sprint(i), Service: "s", Parts: []PromptPart{{fmt.Sprint("own", i), 8000}}}
		choice := d.Choose(now, request, nil)
		d.FirstEvent(choice.Upstream.ID, request.ID)
		d.End(now, choice.Upstream.ID, request.ID, ResultComplete)
	}
	pressure := d.Usage(start.Add(4*time.Second), "s").Pressure()
	assert.Assert(t, pressure > 0.8, "pressure %.2f", pressure)
	assert.Assert(t, made().Usage(start, "s").Pressure() > 1000)
}

// Guards against work at an upstream for a caller that leaves before the answer can end. Load pattern: a burst that
// fills the upstreams with unread prompts.
func TestHopelessRequestIsRefusedAtOnce(t *testing.T) {
	d := made(upstream("a"))
	d.UpdatePeer(start, "other", map[UpstreamKey]Sent{UpstreamKeyOf("a"): {Requests: 2, Unread: 100_000 / statedTokens}})
	request := Request{ID: "c", Service: "s", Remaining: 10 * time.Second, MaxOutputTokens: 300, Parts: []PromptPart{{"own", 600}}}
	assert.Equal(t, d.Choose(start, request, nil).Reason, ReasonNone)
	request.Remaining = 3 * time.Second
	assert.Equal(t, d.Choose(start, request, nil).Reason, ReasonFull)
}

// Guards against two long reads at once on an upstream: each token of its running answers then waits for both, and
// pauses exceed the objective (scale-1: a quarter of the chats). Load pattern: digests and chats on the same upstreams.
func TestLongReadsFollowEachOther(t *testing.T) {
	d := made(upstream("a"))
	long := Request{ID: "r1", Service: "s", MayWait: true, Parts: []PromptPart{{"shared", 5000}, {"own", 3000}}}
	assert.Equal(t, d.Choose(start, long, nil).Reason, ReasonNone)
	next := Request{ID: "next", Service: "s", MayWait: true, Parts: []PromptPart{{"other", 5000}, {"own", 3000}}}
	assert.Equal(t, d.Choose(start, next, nil).Reason, ReasonPrefillBusy)
	chat := Request{ID: "chat", Service: "s", MayWait: true, Parts: []PromptPart{{"own", 600}}}
	assert.Equal(t, d.Choose(start, chat, nil).Reason, ReasonNone)
	d.FirstEvent("a", "r1")
	assert.Equal(t, d.Choose(start, next, nil).Reason, ReasonNone)
	next.ID, next.MayWait = "late", false
	assert.Equal(t, d.Choose(start, next, nil).Reason, ReasonNone)
}

// Guards against VMs that disagree on who sends the long reads of an upstream, and against an owner far from it.
func TestOwnersAgree(t *testing.T) {
	near, far := upstream("near"), upstream("far")
	far.Zone = "y"
	members := []Member{{"a", "z"}, {"b", "z"}, {"c", "y"}, {"d", "y"}}
	for i := range 20 {
		request := Request{ID: "r", Service: "s", Parts: []PromptPart{{fmt.Sprint("document", i), 5000}, {"own", 100}}}
		owners := map[string]bool{}
		for _, self := range members {
			d := New(self.Name, self.Zone)
			d.SetLimits([]Limits{{Service: "s", Engine: true}})
			d.SetFleet(members)
			d.SetUpstreams(start, []Upstream{near, far})
			owner, ok := d.Owner(start, request)
			assert.Assert(t, ok)
			owners[owner] = true
			chosen := d.Choose(start, request, nil).Upstream
			for _, member := range members {
				assert.Assert(t, member.Name != owner || member.Zone == chosen.Zone)
			}
		}
		assert.Equal(t, len(owners), 1)
	}
}

// Guards against an upstream that refuses at once, and so looks idle, drawing all requests: after a crash of 15 upstreams
// 4,298 of 20,931 sends were refused by their successors. Load pattern: a rack that crashes and returns under load.
func TestRefusingUpstreamIsPassedOver(t *testing.T) {
	for result, pause := range map[Result]time.Duration{ResultRefused: refusedTime, ResultReplaced: goneTime} {
		busy, idle := upstream("busy"), upstream("idle")
		busy.Slots, idle.Slots = 64, 64
		d := made(busy, idle)
		d.UpdatePeer(start, "other", map[UpstreamKey]Sent{UpstreamKeyOf("busy"): {Requests: 40}})
		request := Request{ID: "r", Service: "s", Parts: []PromptPart{{"own", 100}}}
		assert.Equal(t, d.Choose(start, request, nil).Upstream.ID, "idle")
		d.End(start, "idle", "r", result)
		assert.Equal(t, d.Choose(start.Add(pause/2), request, nil).Upstream.ID, "busy")
		assert.Equal(t, d.Choose(start.Add(pause), request, nil).Upstream.ID, "idle")
	}
}

// Guards against answers that pass between availability zones for a gain that no caller notices: their bytes are dear.
func TestOwnZoneIsPreferred(t *testing.T) {
	far := upstream("far")
	far.Zone = "other"
	for waits, preferred := range map[int]string{1600: "near", 8000: "far"} {
		d := made(upstream("near"), far)
		d.UpdatePeer(start, "peer", map[UpstreamKey]Sent{UpstreamKeyOf("near"): {Requests: 1, Unread: waits / statedTokens}})
		request := Request{ID: "r", Service: "s", Parts: []PromptPart{{"own", 500}}}
		assert.Equal(t, d.Choose(start, request, nil).Upstream.ID, preferred, "%d tokens wait at the near one", waits)
	}
}

// Guards against a shared beginning that is read again elsewhere because the upstream that has it is busy for a moment.
// Load pattern: a peak of long reads, in which reading again adds to the load that caused it; a digest may wait 1.5 s.
func TestBeginningIsWaitedFor(t *testing.T) {
	for waits, again := range map[int]bool{20_000: false, 60_000: true} {
		d := made(upstream("a"), upstream("b"))
		first := d.Choose(start, ask(0), nil).Upstream.ID
		d.FirstEvent(first, "r0")
		d.UpdatePeer(start, "peer", map[UpstreamKey]Sent{UpstreamKeyOf(first): {Requests: 1, Unread: waits / statedTokens}})
		assert.Equal(t, d.Choose(start, ask(1), nil).Upstream.ID != first, again, "%d tokens wait", waits)
	}
}
