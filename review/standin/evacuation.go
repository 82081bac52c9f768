package main

import (
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"
)

// The case of an order to end an evacuation that a frozen core machine carries out after a later order to start it.

// evacuationCycles is how often the evacuation is ended and started again, since the core machine drops the late order at
// times. The case ends with the first cycle that breaks the rule.
const evacuationCycles = 7

func init() { cases["evacuation"] = prepareEvacuation }

func prepareEvacuation(program string, record *recorder, trouble bool) (*play, func(*play) error, error) {
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
			f.addRunner(31+2*i+n, region, "desk", "v1", 30*time.Millisecond)
		}
	}
	return p, playEvacuation, nil
}

func playEvacuation(p *play) error {
	f := p.fleet
	for _, r := range f.runners {
		if err := r.start(); err != nil {
			return err
		}
	}
	if err := f.start(newState(2, route{
		Name: "status", Prefix: "/status/", Kind: "safe", TimeoutMS: 2000, LatencyMS: 400, Priority: 2, Service: "desk", MaxAttempts: 2,
	})); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i, front := range f.fronts {
		clients.Go(func() { p.ask(front, fmt.Sprintf("c%d", i), stop) })
	}
	var err error
	for cycle := 0; cycle < evacuationCycles && err == nil; cycle++ {
		err = p.evacuateTwice()
	}
	close(stop)
	clients.Wait()
	return err
}

// ask sends a request each 100 ms to a machine.
func (p *play) ask(front *process, name string, stop chan struct{}) {
	for n := 1; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		id := fmt.Sprintf("%s-%d", name, n)
		p.record.note("client sends %s to %s", id, front.name)
		status, _, _ := send(request{method: "GET", address: front.address(portFront), path: "/status/1", id: id, timeout: 2 * time.Second})
		p.record.note("client gets status %d for %s", status, id)
	}
}

func (p *play) evacuateTwice() error {
	f := p.fleet
	zone := zoneOf("south")
	var frozen *process
	leader := f.leader()
	for _, each := range f.core {
		if leader != nil && each != leader {
			frozen = each
		}
	}
	if frozen == nil {
		return errors.New("no leader is known")
	}
	everyone := &operator{fleet: f, first: leader}
	if !everyone.order("POST", "/Evacuation.Start/"+zone, "") {
		return errors.New("the first evacuation was not confirmed")
	}
	time.Sleep(2 * time.Second)
	var thawedAt time.Time
	ender := &operator{fleet: f, first: leader}
	if p.trouble {
		frozen.signal(syscall.SIGSTOP)
		ender.first = frozen
	}
	time.Sleep(200 * time.Millisecond)
	if !ender.order("POST", "/Evacuation.End/"+zone, "") {
		return errors.New("the end of the evacuation was not confirmed")
	}
	time.Sleep(500 * time.Millisecond)
	if !everyone.order("POST", "/Evacuation.Start/"+zone, "") {
		return errors.New("the second evacuation was not confirmed")
	}
	confirmedAt := time.Now()
	time.Sleep(300 * time.Millisecond)
	if p.trouble {
		frozen.signal(syscall.SIGCONT)
		thawedAt = time.Now()
	}
	// Each machine is in touch again contact_ms after the freeze.
	time.Sleep(contactTime + 2500*time.Millisecond)
	from := confirmedAt.Add(evacuateTime)
	if inTouch := thawedAt.Add(contactTime); p.trouble && inTouch.After(from) {
		from = inTouch
	}
	reached := 0
	for _, r := range f.runners {
		for _, each := range r.allRuns() {
			if each.zone == zone && each.at.After(from) {
				reached++
			}
		}
	}
	p.record.note("second evacuation of %s confirmed at %.3f; requests that reached its runners after %.3f: %d",
		zone, p.record.at(confirmedAt), p.record.at(from), reached)
	if reached > 0 {
		return fmt.Errorf("%w: %d requests reached runners of %s, which is evacuated", errBroken, reached, zone)
	}
	if !everyone.order("POST", "/Evacuation.End/"+zone, "") {
		return errors.New("the end of the second evacuation was not confirmed")
	}
	time.Sleep(configApplyTime)
	return nil
}
