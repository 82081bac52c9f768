package main

import (
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// The case of streams that pass through a machine of another region while the machines are stopped and started in turn.

const (
	// longEvents at longPause make a stream of 9 s, within its route's 10 s.
	longEvents  = 45
	longPause   = 200 * time.Millisecond
	longStreams = 12
	// rollGap is the pause between the stops of two machines.
	rollGap = 1300 * time.Millisecond
)

func init() { cases["stopping"] = prepareStopping }

func prepareStopping(program string, record *recorder, trouble bool) (*play, func(*play) error, error) {
	f, err := newFleet(program, record, "north", "south", "west")
	if err != nil {
		return nil, nil, err
	}
	p := &play{fleet: f, record: record, trouble: trouble}
	if err := f.addMachines(2); err != nil {
		return p, nil, err
	}
	for i, region := range f.regions {
		for n := range 2 {
			r := f.addRunner(31+2*i+n, region, "chat", "v1", 0)
			r.events, r.pause, r.entry.Slots = longEvents, longPause, 64
		}
	}
	return p, playStopping, nil
}

func playStopping(p *play) error {
	f := p.fleet
	for _, r := range f.runners {
		if err := r.start(); err != nil {
			return err
		}
	}
	if err := f.start(newState(2, route{
		Name: "chat", Prefix: "/chat/", Kind: "streaming", TimeoutMS: 10000, LatencyMS: 500, Priority: 0, Service: "chat",
		MaxAttempts: 1, GapMS: 300, Homes: []string{"north"},
	})); err != nil {
		return err
	}
	time.Sleep(contactTime + 2*time.Second)
	// The callers' own machine has no runner that may serve them: their route has its home in another region.
	caller := f.fronts[len(f.fronts)-1]
	var complete, cut atomic.Int64
	var streams sync.WaitGroup
	watch := &streamWatch{play: p, onNew: map[*process]int{}, events: longEvents}
	for n := range longStreams {
		streams.Go(func() {
			id := fmt.Sprintf("s-%d", n+1)
			p.record.note("client sends %s to %s", id, caller.name)
			s := &clientStream{id: id, versions: map[string]bool{}}
			status, whole := watch.read(caller, s, id, "")
			p.record.note("client has %s: status %d, last event %q, complete %t", id, status, s.lastEvent, whole)
			switch {
			case whole:
				complete.Add(1)
			case status == 200:
				cut.Add(1)
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	if p.trouble {
		p.roll(p.fleet.fronts, rollGap)
	}
	streams.Wait()
	p.record.note("streams complete: %d, cut off: %d", complete.Load(), cut.Load())
	if cut.Load() > 0 {
		return fmt.Errorf("%w: %d streams were cut off by planned stops", errBroken, cut.Load())
	}
	if complete.Load() == 0 {
		return errors.New("no stream was complete")
	}
	return nil
}

// roll stops machines that callers reach in turn and starts each again, and returns when all have started.
func (p *play) roll(fronts []*process, gap time.Duration) {
	var rolling sync.WaitGroup
	for _, each := range fronts {
		rolling.Go(func() {
			each.stop()
			p.record.note("%s has ended", each.name)
			if err := each.start(); err != nil {
				p.record.note("%s does not start: %v", each.name, err)
			}
		})
		time.Sleep(gap)
	}
	rolling.Wait()
}
