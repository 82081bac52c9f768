package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"time"
)

// The cases of a request that crashes each runner that begins to run it.

func init() {
	cases["poison-same-id"] = preparePoisonSameID
	cases["poison-after-roll"] = preparePoisonAfterRoll
}

const poisonBody = "this request crashes runners"

// poisonous reports whether a request crashes the runner.
func poisonous(_ *http.Request, body string) bool { return body == poisonBody }

// askPoison sends the request that crashes runners, with the same path and body and an id of its own.
func (p *play) askPoison(front *process, method, path, id string) int {
	p.record.note("client sends %s, which crashes runners, to %s", id, front.name)
	status, _, _ := send(request{method: method, address: front.address(portFront), path: path, body: poisonBody, id: id, timeout: 2 * time.Second})
	p.record.note("client gets status %d for %s", status, id)
	return status
}

// arrivals returns how many runs of a path began after a time.
func (f *fleet) arrivals(path string, after time.Time) int {
	count := 0
	for _, r := range f.runners {
		for _, each := range r.allRuns() {
			if each.path == path && each.at.After(after) {
				count++
			}
		}
	}
	return count
}

// crashTimes returns when runners crashed, the earliest first.
func (f *fleet) crashTimes() []time.Time {
	var times []time.Time
	for _, r := range f.runners {
		times = append(times, r.allCrashes()...)
	}
	for i := range times {
		for k := i; k > 0 && times[k].Before(times[k-1]); k-- {
			times[k], times[k-1] = times[k-1], times[k]
		}
	}
	return times
}

// preparePoisonSameID prepares a service with one runner in each region. A route keeps its requests in one region. The
// runners come back under the id that they had, unless NEW_ID is set.
func preparePoisonSameID(program string, record *recorder, trouble bool) (*play, func(*play) error, error) {
	f, err := newFleet(program, record, "north", "south", "west")
	if err != nil {
		return nil, nil, err
	}
	p := &play{fleet: f, record: record, trouble: trouble}
	if err := f.addMachines(2); err != nil {
		return p, nil, err
	}
	for i, region := range f.regions {
		r := f.addRunner(31+i, region, "desk", "v1", 30*time.Millisecond)
		r.newID = os.Getenv("NEW_ID") != ""
		if trouble {
			r.poison = poisonous
		}
	}
	return p, playPoisonSameID, nil
}

func playPoisonSameID(p *play) error {
	f := p.fleet
	for _, r := range f.runners {
		if err := r.start(); err != nil {
			return err
		}
	}
	if err := f.start(newState(2, route{
		Name: "reserve", Prefix: "/reserve/", Kind: "unsafe", TimeoutMS: 2000, LatencyMS: 400, Priority: 2, Service: "desk",
		MaxAttempts: 1, Homes: []string{"north"},
	})); err != nil {
		return err
	}
	time.Sleep(6 * time.Second)
	const path = "/reserve/1"
	for n := range 14 {
		p.askPoison(f.fronts[n%2], "POST", path, fmt.Sprintf("p-%d", n+1))
		time.Sleep(4 * time.Second)
	}
	crashes := f.crashTimes()
	if !p.trouble {
		if len(crashes) > 0 {
			return errors.New("a runner crashed without the disruption")
		}
		return nil
	}
	if len(crashes) < 3 {
		return fmt.Errorf("runners crashed only %d times", len(crashes))
	}
	return p.judgePoison(path, crashes[2].Add(contactTime))
}

// judgePoison checks that at most three requests reached runners after a time.
func (p *play) judgePoison(path string, from time.Time) error {
	reached := p.fleet.arrivals(path, from)
	p.record.note("requests that reached runners after %.3f, which is 5 s after the third crash: %d", p.record.at(from), reached)
	if reached > 3 {
		return fmt.Errorf("%w: the request reached runners %d times later than 5 s after the third crash", errBroken, reached)
	}
	return nil
}

// preparePoisonAfterRoll prepares a service with two runners in each region, which come back under new ids.
func preparePoisonAfterRoll(program string, record *recorder, trouble bool) (*play, func(*play) error, error) {
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
			r := f.addRunner(31+2*i+n, region, "desk", "v1", 30*time.Millisecond)
			r.newID, r.poison = true, poisonous
		}
	}
	return p, playPoisonAfterRoll, nil
}

func playPoisonAfterRoll(p *play) error {
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
	time.Sleep(6 * time.Second)
	const path = "/status/1"
	attempts := 0
	// ask sends the request and repeats it once, as clients do after a failure of a safe request.
	ask := func(front *process) int {
		status := 0
		for range 2 {
			attempts++
			status = p.askPoison(front, "GET", path, fmt.Sprintf("p-%d", attempts))
			if status == http.StatusOK || status == http.StatusServiceUnavailable {
				break
			}
		}
		return status
	}
	for n := 0; n < 3 && ask(f.fronts[n%len(f.fronts)]) != http.StatusServiceUnavailable; n++ {
		time.Sleep(3 * time.Second)
	}
	crashes := f.crashTimes()
	if len(crashes) < 3 {
		return fmt.Errorf("runners crashed only %d times", len(crashes))
	}
	from := crashes[2].Add(contactTime)
	time.Sleep(time.Until(from) + time.Second)
	for range 2 {
		if p.trouble {
			if err := p.rollCore(); err != nil {
				return err
			}
		}
		// The core is stable and all machines are in touch again after this time.
		time.Sleep(contactTime + time.Second)
		for n := range 3 {
			ask(f.fronts[n%len(f.fronts)])
			time.Sleep(4 * time.Second)
		}
	}
	return p.judgePoison(path, from)
}

// rollCore stops and starts the core machines in turn.
func (p *play) rollCore() error {
	for _, each := range p.fleet.core {
		each.stop()
		if err := each.start(); err != nil {
			return err
		}
		time.Sleep(3 * time.Second)
	}
	return nil
}
