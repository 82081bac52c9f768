package main

import (
	"bufio"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The case of a machine that is killed just after the first runner of a new software version was listed.

const (
	streamEvents = 25
	streamSlots  = 100
	// slowPause is the time between two events of a runner that has just started, which is slow for some seconds.
	slowPause = 2 * eventPause
	// streamsPerFront is how many streams clients begin a second at each machine.
	streamsPerFront = 40
	// northFronts is how many machines callers reach in the first region; there is one in each other region.
	northFronts = 6
	// northRollGap is the pause between the stops of two of them when they are stopped and started in turn, long before the
	// release. The times of their heartbeats are spread by that.
	northRollGap = 1100 * time.Millisecond
	// knownAfter is how long a machine has to see a single version before it relies on that.
	knownAfter = 33 * time.Second
	// brokenStreams is how many streams of the new version the machine that is killed has to carry.
	brokenStreams = 7
)

func init() { cases["versions"] = prepareVersions }

func prepareVersions(program string, record *recorder, trouble bool) (*play, func(*play) error, error) {
	f, err := newFleet(program, record, "north", "south", "west")
	if err != nil {
		return nil, nil, err
	}
	p := &play{fleet: f, record: record, trouble: trouble}
	if err := f.addMachines(1); err != nil {
		return p, nil, err
	}
	for n := 1; n < northFronts; n++ {
		front, err := f.addMachine(fmt.Sprintf("front-north-%d", n+1), "entry", "north", 20+n)
		if err != nil {
			return p, nil, err
		}
		f.fronts = append(f.fronts, front)
	}
	for i, region := range f.regions {
		for n := range 6 {
			r := f.addRunner(31+6*i+n, region, "chat", "v1", 0)
			r.events, r.entry.Slots = streamEvents, streamSlots
		}
	}
	return p, playVersions, nil
}

// streamWatch follows the streams of all clients.
type streamWatch struct {
	play   *play
	fronts []*process
	mu     sync.Mutex
	// onNew counts for each machine the streams that brought events of the new version and go on.
	onNew map[*process]int
	// waits holds what the latest refusal of each machine asked for.
	waits map[*process]time.Duration
	// mixed, taken and resumed count the streams with events of two versions, those that were taken up, and those that
	// went on.
	mixed, taken, resumed atomic.Int64
	begun, complete       atomic.Int64
	// events is the number of events of a whole stream.
	events int
}

func playVersions(p *play) error {
	f := p.fleet
	for _, r := range f.runners {
		if err := r.start(); err != nil {
			return err
		}
	}
	if err := f.start(newState(2, route{
		Name: "chat", Prefix: "/chat/", Kind: "streaming", TimeoutMS: 10000, LatencyMS: 500, Priority: 0, Service: "chat",
		MaxAttempts: 2, Resumable: true, GapMS: 300,
	})); err != nil {
		return err
	}
	watch := &streamWatch{play: p, onNew: map[*process]int{}, events: streamEvents}
	for _, front := range f.fronts {
		if front.region == "north" {
			watch.fronts = append(watch.fronts, front)
		}
	}
	time.Sleep(2 * time.Second)
	p.roll(watch.fronts, northRollGap)
	if err := f.awaitReady(10 * time.Second); err != nil {
		return err
	}
	time.Sleep(knownAfter)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i, front := range watch.fronts {
		clients.Go(func() { watch.beginStreams(front, i, stop) })
	}
	time.Sleep(2 * time.Second)
	next := f.addRunner(81, "north", "chat", "v2", 0)
	next.events, next.entry.Slots, next.pause = streamEvents, streamSlots, slowPause
	if err := next.start(); err != nil {
		return err
	}
	killed, err := watch.killFirst()
	time.Sleep(4 * time.Second)
	close(stop)
	clients.Wait()
	if err != nil {
		return err
	}
	p.record.note("streams begun: %d, complete: %d, taken up: %d, of these gone on: %d, with events of two versions: %d",
		watch.begun.Load(), watch.complete.Load(), watch.taken.Load(), watch.resumed.Load(), watch.mixed.Load())
	if killed != nil && watch.taken.Load() == 0 {
		return errors.New("no stream was taken up")
	}
	if mixed := watch.mixed.Load(); mixed > 2 {
		return fmt.Errorf("%w: %d streams hold events of two software versions", errBroken, mixed)
	}
	return nil
}

// killFirst kills the first machine that carries some streams of the new version. Without the disruption it kills none.
func (w *streamWatch) killFirst() (*process, error) {
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		w.mu.Lock()
		var found *process
		for front, count := range w.onNew {
			if count >= brokenStreams {
				found = front
			}
		}
		w.mu.Unlock()
		if found == nil {
			continue
		}
		if !w.play.trouble {
			return nil, nil
		}
		found.signal(syscall.SIGKILL)
		return found, nil
	}
	return nil, errors.New("no machine carried streams of the new version")
}

func (w *streamWatch) beginStreams(front *process, index int, stop chan struct{}) {
	var streams sync.WaitGroup
	defer streams.Wait()
	for n := 1; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Second / streamsPerFront):
		}
		if front.running() {
			streams.Go(func() { w.follow(front, fmt.Sprintf("m%d-%d", index, n)) })
		}
	}
}

// clientStream is one stream of a client, over its tries.
type clientStream struct {
	id        string
	lastEvent string
	versions  map[string]bool
}

// follow reads a stream, and takes it up once at another machine if its channel breaks.
func (w *streamWatch) follow(front *process, id string) {
	s := &clientStream{id: id, versions: map[string]bool{}}
	w.begun.Add(1)
	status, complete := w.read(front, s, id, "")
	if !complete && s.lastEvent != "" {
		others := w.others(front)
		other := others[rand.IntN(len(others))]
		w.taken.Add(1)
		had := s.lastEvent
		w.play.record.note("client takes up %s at %s after event %s of version %v", id, other.name, had, keys(s.versions))
		status, complete = w.read(other, s, id+"-again", id)
		if s.lastEvent != had {
			w.resumed.Add(1)
		}
	}
	if complete {
		w.complete.Add(1)
	}
	if len(s.versions) > 1 {
		w.mixed.Add(1)
		w.play.record.note("the stream %s holds events of the versions %v; status %d, complete %t", id, keys(s.versions), status, complete)
	}
}

func (w *streamWatch) others(front *process) []*process {
	var list []*process
	for _, each := range w.fronts {
		if each != front && each.running() {
			list = append(list, each)
		}
	}
	return list
}

// read makes one try. It returns the status, and whether the stream came to its end.
func (w *streamWatch) read(front *process, s *clientStream, id, resumes string) (int, bool) {
	conn, err := net.DialTimeout("tcp", front.address(portFront), time.Second)
	if err != nil {
		return 0, false
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(11 * time.Second))
	head := fmt.Sprintf("POST /chat/1 HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: 10000\r\nContent-Length: 2\r\n", host, id)
	if resumes != "" {
		head += "Last-Event-Id: " + s.lastEvent + "\r\nResumes: " + resumes + "\r\n"
	}
	if _, err := conn.Write([]byte(head + "\r\nhi")); err != nil {
		return 0, false
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, false
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		w.play.record.note("client gets status %d for %s from %s", response.StatusCode, id, front.name)
		w.keepWait(front, response.Header.Get("Retry-After"))
		return response.StatusCode, false
	}
	counted := false
	defer func() {
		if counted {
			w.count(front, -1)
		}
	}()
	events := bufio.NewScanner(response.Body)
	number := ""
	for events.Scan() {
		line := events.Text()
		if value, ok := strings.CutPrefix(line, "id: "); ok {
			number = value
		}
		if version, ok := strings.CutPrefix(line, "data: "); ok {
			s.lastEvent = number
			s.versions[version] = true
			if version != "v1" && !counted {
				counted = true
				w.count(front, 1)
			}
		}
	}
	return response.StatusCode, events.Err() == nil && s.lastEvent == fmt.Sprint(w.events)
}

// keepWait keeps the wait of a refusal, in seconds.
func (w *streamWatch) keepWait(front *process, value string) {
	seconds, _ := strconv.ParseFloat(value, 64)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.waits == nil {
		w.waits = map[*process]time.Duration{}
	}
	w.waits[front] = time.Duration(seconds * float64(time.Second))
}

func (w *streamWatch) count(front *process, change int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.onNew[front] += change
}

func keys(set map[string]bool) []string {
	var list []string
	for key := range set {
		list = append(list, key)
	}
	return list
}
