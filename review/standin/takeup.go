package main

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The case of streams that clients take up again while the machines of the home region, which were killed, are back.

const (
	// takeUpStreams run at the machines of the other regions when those of the home region are killed.
	takeUpStreams = 24
	// homeDown is how long the machines of the home region are down.
	homeDown = 300 * time.Millisecond
	// takeUpTries is how often a client takes a stream up, within streamPatience of its last event: eight times the pause
	// that the route allows.
	takeUpTries    = 3
	streamPatience = 2400 * time.Millisecond
	// newStreamInterval is the pause between new streams at each machine.
	newStreamInterval = 200 * time.Millisecond
)

func init() { cases["takeup"] = prepareTakeUp }

func prepareTakeUp(program string, record *recorder, trouble bool) (*play, func(*play) error, error) {
	p, _, err := prepareStopping(program, record, trouble)
	return p, playTakeUp, err
}

func playTakeUp(p *play) error {
	f := p.fleet
	for _, r := range f.runners {
		if err := r.start(); err != nil {
			return err
		}
	}
	if err := f.start(newState(2, route{
		Name: "chat", Prefix: "/chat/", Kind: "streaming", TimeoutMS: 10000, LatencyMS: 500, Priority: 0, Service: "chat",
		MaxAttempts: 2, Resumable: true, GapMS: 300, Homes: []string{"north"},
	})); err != nil {
		return err
	}
	time.Sleep(contactTime + 2*time.Second)
	watch := &streamWatch{play: p, onNew: map[*process]int{}, events: longEvents}
	callers := f.fronts[2:]
	var taken, goneOn, begun, asked atomic.Int64
	var streams sync.WaitGroup
	for n := range takeUpStreams {
		streams.Go(func() {
			front := callers[n%len(callers)]
			id := fmt.Sprintf("s-%d", n+1)
			s := &clientStream{id: id, versions: map[string]bool{}}
			_, whole := watch.read(front, s, id, "")
			if whole || s.lastEvent == "" {
				return
			}
			taken.Add(1)
			had, brokenAt := s.lastEvent, time.Now()
			for try := range takeUpTries {
				other := callers[(n+1+try)%len(callers)]
				p.record.note("client takes up %s at %s after event %s", id, other.name, had)
				status, _ := watch.read(other, s, fmt.Sprintf("%s-%d", id, try+1), id)
				p.record.note("client gets status %d for the take-up of %s, last event %s", status, id, s.lastEvent)
				if s.lastEvent != had {
					goneOn.Add(1)
					return
				}
				if status != http.StatusServiceUnavailable {
					return
				}
				time.Sleep(watch.retryAfter(other))
				if time.Since(brokenAt) > streamPatience {
					return
				}
			}
		})
	}
	stop := make(chan struct{})
	for i, front := range callers {
		streams.Go(func() {
			for n := 1; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(newStreamInterval):
				}
				streams.Go(func() {
					id := "n" + strconv.Itoa(i) + "-" + strconv.Itoa(n)
					s := &clientStream{id: id, versions: map[string]bool{}}
					asked.Add(1)
					status, _ := watch.read(front, s, id, "")
					if status == http.StatusOK && s.lastEvent != "" {
						begun.Add(1)
					}
				})
			}
		})
	}
	time.Sleep(time.Second)
	if p.trouble {
		for _, home := range f.fronts[:2] {
			home.signal(syscall.SIGKILL)
		}
		time.Sleep(homeDown)
		for _, home := range f.fronts[:2] {
			<-home.exited
			if err := home.start(); err != nil {
				return err
			}
		}
		if err := f.awaitReady(5 * time.Second); err != nil {
			return err
		}
		p.record.note("the machines of the home region have started again and say that they are ready")
	}
	time.Sleep(12 * time.Second)
	close(stop)
	streams.Wait()
	p.record.note("streams taken up: %d, gone on: %d; new streams: %d, begun: %d", taken.Load(), goneOn.Load(), asked.Load(), begun.Load())
	if asked.Load() == 0 || p.trouble && taken.Load() < 12 {
		return errors.New("too few streams")
	}
	if !p.trouble {
		return nil
	}
	takenShare, newShare := float64(goneOn.Load())/float64(taken.Load()), float64(begun.Load())/float64(asked.Load())
	if takenShare < newShare/2 {
		return fmt.Errorf("%w: of %d streams taken up %d went on; of %d new ones %d began", errBroken, taken.Load(), goneOn.Load(), asked.Load(), begun.Load())
	}
	return nil
}

// retryAfter is the wait that the latest refusal of a machine asked for.
func (w *streamWatch) retryAfter(front *process) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.waits[front]
}
