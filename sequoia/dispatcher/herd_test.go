package dispatcher

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The fleet of one region under its peak: chats and long reads come to many VMs that hear of each other's sends only now
// and then.
const (
	herdVMs       = 26
	herdUpstreams = 36
	herdChats     = 420
	herdReads     = 150
	herdTime      = 8 * time.Second
	// herdFar is the age that a statement from another availability zone reaches, and herdNear that of one from the own.
	herdFar  = 600 * time.Millisecond
	herdNear = 100 * time.Millisecond
	// herdSpeed is the number of tokens that an upstream reads in a millisecond.
	herdSpeed = 44.0
	// herdObjective is the time to the first token that callers of chats expect, and herdWithin how many of them get it;
	// with frequent statements it is the target of docs/CAPACITY.md.
	herdObjective = 500 * time.Millisecond
	herdTarget    = 320 * time.Millisecond
	herdWithin    = 0.95
)

// herd simulates upstreams that read prompts one after the other.
type herd struct {
	random *rand.Rand
	now    time.Time
	vms    []*Dispatcher
	// near and far are the ages that statements reach, told says when each VM made its last ones.
	near, far time.Duration
	toldNear  []time.Time
	toldFar   []time.Time
	// free is when each upstream has read all that it has.
	free map[string]time.Time
	// cached holds what each upstream has read.
	cached map[string]bool
	events []herdEvent
}

// herdEvent is a first event, or the end of an answer.
type herdEvent struct {
	at       time.Time
	vm       int
	upstream string
	request  string
	last     bool
}

func newHerd(now time.Time, near, far time.Duration) *herd {
	h := &herd{random: rand.New(rand.NewPCG(7, 7)), now: now, near: near, far: far, free: map[string]time.Time{}, cached: map[string]bool{}}
	var list []Upstream
	for i := range herdUpstreams {
		list = append(list, Upstream{ID: fmt.Sprint("u", i), Service: "chat", Zone: fmt.Sprint(i % 2), Slots: 32})
	}
	var fleet []Member
	for i := range herdVMs {
		fleet = append(fleet, Member{Name: fmt.Sprint("vm", i), Zone: fmt.Sprint(i % 2)})
	}
	for i, member := range fleet {
		d := New(member.Name, member.Zone)
		d.SetLimits([]Limits{{Service: "chat", Engine: true}})
		d.SetFleet(fleet)
		d.SetUpstreams(now, list)
		h.vms = append(h.vms, d)
		h.toldNear = append(h.toldNear, now.Add(near*time.Duration(i)/herdVMs))
		h.toldFar = append(h.toldFar, now.Add(far*time.Duration(i)/herdVMs))
	}
	return h
}

// step moves the time on: answers go on, and VMs whose turn it is tell the others what they have.
func (h *herd) step(now time.Time) {
	h.now = now
	slices.SortFunc(h.events, func(a, b herdEvent) int { return a.at.Compare(b.at) })
	for len(h.events) > 0 && !h.events[0].at.After(now) {
		event := h.events[0]
		h.events = h.events[1:]
		if event.last {
			h.vms[event.vm].End(now, event.upstream, event.request, ResultComplete)
			continue
		}
		h.vms[event.vm].FirstEvent(event.upstream, event.request)
	}
	for i := range h.vms {
		if !now.Before(h.toldNear[i]) {
			h.toldNear[i] = now.Add(h.near)
			h.tell(i, true)
		}
		if !now.Before(h.toldFar[i]) {
			h.toldFar[i] = now.Add(h.far)
			h.tell(i, false)
		}
	}
}

// tell makes one VM state what it has to those of its own zone, or to the others.
func (h *herd) tell(i int, near bool) {
	own := h.vms[i].LocalLoad(h.now)
	for j, other := range h.vms {
		if i != j && near == (h.vms[i].zone == other.zone) {
			other.UpdatePeer(h.now, fmt.Sprint("vm", i), own)
		}
	}
}

// ask sends one request through a random VM and returns the time to its first token.
func (h *herd) ask(number int, shared string, sharedTokens, ownTokens, output int) (time.Duration, bool) {
	vm := h.random.IntN(herdVMs)
	id := fmt.Sprint("r", number)
	choice := h.vms[vm].Choose(h.now, Request{
		ID: id, Service: "chat", MaxOutputTokens: output, Remaining: 10 * time.Second,
		Parts: []PromptPart{{ID: shared, Tokens: sharedTokens}, {ID: id, Tokens: ownTokens}},
	}, nil)
	if choice.Reason != ReasonNone {
		return 0, false
	}
	upstream := choice.Upstream.ID
	unread := ownTokens
	if key := upstream + shared; !h.cached[key] {
		h.cached[key] = true
		unread += sharedTokens
	}
	first := later(h.free[upstream], h.now).Add(milliseconds(float64(unread) / herdSpeed))
	h.free[upstream] = first
	h.events = append(h.events, herdEvent{at: first, vm: vm, upstream: upstream, request: id},
		herdEvent{at: first.Add(milliseconds(float64(output) * 10)), vm: vm, upstream: upstream, request: id, last: true})
	return first.Sub(h.now), true
}

// run sends the requests of the peak and returns how many chats there were and how many got their first token in time.
func (h *herd) run(objective time.Duration) (asked, inTime int) {
	began := h.now
	for number := 0; h.now.Sub(began) < herdTime; number++ {
		pause := time.Duration(h.random.ExpFloat64() / (herdChats + herdReads) * float64(time.Second))
		h.step(h.now.Add(pause))
		if h.random.IntN(herdChats+herdReads) < herdReads {
			h.ask(number, fmt.Sprint("manual", h.random.IntN(300)), 6300, 2890, 54)
			continue
		}
		first, sent := h.ask(number, fmt.Sprint("greeting", h.random.IntN(20)), 198, 628, 288)
		asked++
		if sent && first <= objective {
			inTime++
		}
	}
	return asked, inTime
}

// Guards against VMs that all send to the upstream that was idle when they last heard of each other: at half of the load
// that a region's upstreams can read, chats waited for each other's prompts. Every statement is as old as one from
// another zone.
func TestStaleStatementsDoNotGatherRequests(t *testing.T) {
	asked, inTime := newHerd(time.Unix(1000, 0), herdFar, herdFar).run(herdObjective)
	assert.Assert(t, float64(inTime) >= herdWithin*float64(asked), "%d of %d chats got their first token in time", inTime, asked)
}

// Guards against statements that are too old to spread the requests of one zone: with 0.3 s the target is missed.
func TestFrequentStatementsSpreadRequests(t *testing.T) {
	asked, inTime := newHerd(time.Unix(1000, 0), herdNear, herdFar).run(herdTarget)
	assert.Assert(t, float64(inTime) >= herdWithin*float64(asked), "%d of %d chats got their first token in time", inTime, asked)
}
