package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// The case of a sound request that many clients send alike, and that is in progress at three runners which crash.

const (
	// statusPerSecond and reservePerSecond are the requests of the two kinds a second, over all machines.
	statusPerSecond  = 150
	reservePerSecond = 150
	// crashedRunners of 16 crash at the same moment, a quarter, and are back after crashDown.
	crashedRunners = 4
	crashDown      = 2 * time.Second
	crashAfter     = 5 * time.Second
	blamedTime     = 80 * time.Second
)

func init() { cases["blamed"] = prepareBlamed }

func prepareBlamed(program string, record *recorder, trouble bool) (*play, func(*play) error, error) {
	f, err := newFleet(program, record, "north", "south", "west")
	if err != nil {
		return nil, nil, err
	}
	p := &play{fleet: f, record: record, trouble: trouble}
	if err := f.addMachines(2); err != nil {
		return p, nil, err
	}
	for n := range 16 {
		r := f.addRunner(31+n, f.regions[n%len(f.regions)], "desk", "v1", 200*time.Millisecond)
		r.newID, r.downFor = true, crashDown
	}
	return p, playBlamed, nil
}

// tally counts what clients asked for and what was served.
type tally struct {
	mu            sync.Mutex
	asked, served map[string]int
}

func playBlamed(p *play) error {
	f := p.fleet
	for _, r := range f.runners {
		if err := r.start(); err != nil {
			return err
		}
	}
	if err := f.start(newState(2, route{
		Name: "status", Prefix: "/status/", Kind: "safe", TimeoutMS: 2000, LatencyMS: 400, Priority: 2, Service: "desk", MaxAttempts: 2,
	}, route{
		Name: "reserve", Prefix: "/reserve/", Kind: "unsafe", TimeoutMS: 2000, LatencyMS: 400, Priority: 2, Service: "desk", MaxAttempts: 1,
	})); err != nil {
		return err
	}
	time.Sleep(6 * time.Second)
	count := &tally{asked: map[string]int{}, served: map[string]int{}}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() { p.askEach(count, "status", "GET", statusPerSecond, stop) })
	clients.Go(func() { p.askEach(count, "reserve", "POST", reservePerSecond, stop) })
	started := time.Now()
	time.Sleep(crashAfter)
	if p.trouble {
		for _, r := range f.runners[:crashedRunners] {
			r.crash()
		}
	}
	time.Sleep(blamedTime - time.Since(started))
	close(stop)
	clients.Wait()
	return count.judge(p)
}

// askEach sends requests of one kind to all machines in turn. Those that only read a status are alike; those that reserve
// something differ.
func (p *play) askEach(count *tally, kind, method string, perSecond int, stop chan struct{}) {
	var sent sync.WaitGroup
	defer sent.Wait()
	for n := 1; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Second / time.Duration(perSecond)):
		}
		front := p.fleet.fronts[n%len(p.fleet.fronts)]
		id := fmt.Sprintf("%s-%d", kind, n)
		path, body := "/status/open", ""
		if kind == "reserve" {
			path, body = "/reserve/1", id
		}
		sent.Go(func() {
			status, _, _ := send(request{method: method, address: front.address(portFront), path: path, body: body, id: id, timeout: 2 * time.Second})
			p.record.note("client gets status %d for %s from %s", status, id, front.name)
			count.mu.Lock()
			defer count.mu.Unlock()
			count.asked[kind]++
			if status == http.StatusOK {
				count.served[kind]++
			}
		})
	}
}

// judge compares how often a kind of request is served with how often all requests are.
func (t *tally) judge(p *play) error {
	asked, served := 0, 0
	for kind := range t.asked {
		asked += t.asked[kind]
		served += t.served[kind]
		p.record.note("%s: %d asked, %d served", kind, t.asked[kind], t.served[kind])
	}
	if served == 0 {
		return errors.New("no request was served")
	}
	all := float64(served) / float64(asked)
	for kind := range t.asked {
		if share := float64(t.served[kind]) / float64(t.asked[kind]); share < all/4 {
			return fmt.Errorf("%w: %s is served %.3f of the time, all requests %.3f", errBroken, kind, share, all)
		}
	}
	return nil
}
