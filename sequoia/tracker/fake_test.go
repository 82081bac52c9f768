package tracker

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sort"
	"time"
)

const networkDelay = 2 * time.Millisecond

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

type delivery struct {
	at      time.Time
	to      string
	message Message
	order   int
}

// fakeNetwork delivers messages between trackers in virtual time and drops some of them at random, with a fixed seed.
type fakeNetwork struct {
	now      time.Time
	trackers map[string]*Tracker
	names    []string
	down     map[string]bool
	linkDown func(from, to string) bool
	loss     float64
	random   *rand.Rand
	queue    []delivery
	sent     int
	bytes    int
	changes  []StateChanged
}

func newFakeNetwork(zones, perZone int, loss float64) *fakeNetwork {
	n := &fakeNetwork{now: epoch, trackers: map[string]*Tracker{}, down: map[string]bool{}, loss: loss, random: rand.New(rand.NewPCG(7, 7))}
	var roster Roster
	for z := range zones {
		for i := range perZone {
			roster.Members = append(roster.Members, Member{Name: fmt.Sprintf("zone-%02d-%02d", z, i), Zone: fmt.Sprintf("zone-%02d", z)})
		}
	}
	for i, member := range roster.Members {
		member.Incarnation = 1
		tracker := New(Config{Self: member, Rand: rand.New(rand.NewPCG(uint64(i), 1))})
		tracker.Step(n.now, roster)
		n.trackers[member.Name] = tracker
		n.names = append(n.names, member.Name)
	}
	return n
}

func (n *fakeNetwork) send(from, to string, m Message) {
	text, _ := json.Marshal(m)
	n.sent++
	n.bytes += len(text)
	if n.random.Float64() < n.loss || (n.linkDown != nil && n.linkDown(from, to)) {
		return
	}
	n.queue = append(n.queue, delivery{at: n.now.Add(networkDelay), to: to, message: m, order: n.sent})
}

func (n *fakeNetwork) applyEffects(from string, effects []Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case SendProbe:
			n.send(from, e.To, e.Probe)
		case SendReply:
			n.send(from, e.To, e.Reply)
		case SendAggregate:
			n.send(from, e.To, e.Aggregate)
		case StateChanged:
			n.changes = append(n.changes, e)
		}
	}
}

func (n *fakeNetwork) run(d time.Duration) {
	const step = 20 * time.Millisecond
	for end := n.now.Add(d); n.now.Before(end); n.now = n.now.Add(step) {
		for _, name := range n.names {
			if !n.down[name] {
				n.applyEffects(name, n.trackers[name].Tick(n.now))
			}
		}
		n.deliver(n.now.Add(step))
	}
}

func (n *fakeNetwork) deliver(until time.Time) {
	for len(n.queue) > 0 {
		sort.SliceStable(n.queue, func(i, j int) bool { return n.queue[i].at.Before(n.queue[j].at) })
		next := n.queue[0]
		if !next.at.Before(until) {
			return
		}
		n.queue = n.queue[1:]
		if n.down[next.to] {
			continue
		}
		previous := n.now
		n.now = next.at
		n.applyEffects(next.to, n.trackers[next.to].Step(n.now, next.message))
		n.now = previous
	}
}

func (n *fakeNetwork) state(at, of string) State {
	for _, u := range n.trackers[at].Members() {
		if u.Name == of {
			return u.State
		}
	}
	return ""
}
