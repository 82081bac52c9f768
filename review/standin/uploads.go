package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The case of many clients that send bodies as large as the desired state allows at the same time.

const (
	// uploadBytes is max_body_bytes of the desired state.
	uploadBytes = 4194304
	// usualClients send uploads to each of two machines at the same time all the while; in the burst there are
	// burstClients, 2.5 times as many.
	usualClients = 24
	burstClients = 60
	usualTime    = 10 * time.Second
	burstTime    = 10 * time.Second
	// bookingClients send small bookings to each of the two machines, one after another.
	bookingClients = 20
	uploadPause    = 50 * time.Millisecond
	// chunkBytes are sent each chunkPause by a client, 9 Mbit/s. All clients of a machine together use about half of
	// the 1,000 Mbit/s of its link.
	chunkBytes = 32 << 10
	chunkPause = 29 * time.Millisecond
)

func init() { cases["uploads"] = prepareUploads }

func prepareUploads(program string, record *recorder, trouble bool) (*play, func(*play) error, error) {
	f, err := newFleet(program, record, "north", "south", "west")
	if err != nil {
		return nil, nil, err
	}
	p := &play{fleet: f, record: record, trouble: trouble}
	if err := f.addMachines(1); err != nil {
		return p, nil, err
	}
	for i, region := range f.regions {
		for n := range 4 {
			f.addRunner(31+4*i+n, region, "desk", "v1", 200*time.Millisecond)
		}
	}
	return p, playUploads, nil
}

func playUploads(p *play) error {
	f := p.fleet
	for _, r := range f.runners {
		if err := r.start(); err != nil {
			return err
		}
	}
	if err := f.start(newState(2, route{
		Name: "book", Prefix: "/book/", Kind: "unsafe", TimeoutMS: 2000, LatencyMS: 400, Priority: 2, Service: "desk", MaxAttempts: 1,
	}, route{
		Name: "scan", Prefix: "/scan/", Kind: "unsafe", TimeoutMS: 10000, LatencyMS: 5000, Priority: 2, Service: "desk", MaxAttempts: 1,
	})); err != nil {
		return err
	}
	time.Sleep(6 * time.Second)
	fronts := f.fronts[:2]
	watches := []*memoryWatch{}
	lost := &lostRequests{}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	begin := func(from, to int) {
		for i, front := range fronts {
			for n := from; n < to; n++ {
				clients.Go(func() { p.sendEach(front, fmt.Sprintf("u%d-%d", i, n), "/scan/1", uploadBytes, lost, stop) })
			}
		}
	}
	for i, front := range fronts {
		watches = append(watches, watchMemory(p, front))
		for n := range bookingClients {
			clients.Go(func() { p.sendEach(front, fmt.Sprintf("b%d-%d", i, n), "/book/1", 600, lost, stop) })
		}
	}
	begin(0, usualClients)
	time.Sleep(usualTime)
	if p.trouble {
		p.record.note("the burst begins")
		begin(usualClients, burstClients)
	}
	time.Sleep(burstTime)
	close(stop)
	clients.Wait()
	kills := 0
	for i, watch := range watches {
		killed, peak := watch.end()
		kills += killed
		p.record.note("%s used %d MB at most and was killed %d times for using more than %d MB", fronts[i].name, peak, killed, memoryMB)
	}
	passedOn := f.begunOf(lost.ids)
	p.record.note("requests answered: %d; channels that closed without an answer: %d, of these after a runner had begun the request: %d",
		lost.answered, len(lost.ids), passedOn)
	if passedOn > 3 {
		return fmt.Errorf("%w: %d requests on kept channels were passed on and lost their answer; the machines were killed %d times for their memory",
			errBroken, passedOn, kills)
	}
	if lost.answered == 0 {
		return errors.New("no request was answered")
	}
	return nil
}

// begunOf returns how many of the requests a runner began to run.
func (f *fleet) begunOf(ids []string) int {
	lost := map[string]bool{}
	for _, id := range ids {
		lost[id] = true
	}
	count := 0
	for _, r := range f.runners {
		for _, each := range r.allRuns() {
			if lost[each.id] {
				count++
			}
		}
	}
	return count
}

// lostRequests holds the ids of the requests whose channel was closed without an answer.
type lostRequests struct {
	mu       sync.Mutex
	ids      []string
	answered int
}

// sendEach sends one request after another on a kept channel.
func (p *play) sendEach(front *process, client, path string, size int, lost *lostRequests, stop chan struct{}) {
	chunk := bytes.Repeat([]byte("x"), min(size, chunkBytes))
	var conn net.Conn
	var reader *bufio.Reader
	for n := 1; ; n++ {
		select {
		case <-stop:
			if conn != nil {
				_ = conn.Close()
			}
			return
		case <-time.After(uploadPause):
		}
		if conn == nil {
			opened, err := net.DialTimeout("tcp", front.address(portFront), time.Second)
			if err != nil {
				continue
			}
			conn, reader = opened, bufio.NewReader(opened)
		}
		id := fmt.Sprintf("%s-%d", client, n)
		_ = conn.SetDeadline(time.Now().Add(11 * time.Second))
		_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: 10000\r\nContent-Length: %d\r\n\r\n", path, host, id, size)
		for sent := 0; sent < size; sent += len(chunk) {
			if _, err := conn.Write(chunk); err != nil {
				break
			}
			if sent+len(chunk) < size {
				time.Sleep(chunkPause)
			}
		}
		response, err := http.ReadResponse(reader, nil)
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
			p.record.note("client gets status %d for %s", response.StatusCode, id)
		}
		lost.mu.Lock()
		if err == nil {
			lost.answered++
		} else {
			lost.ids = append(lost.ids, id)
			p.record.note("the channel of %s closes without an answer", id)
		}
		lost.mu.Unlock()
		if err != nil || response.Close {
			_ = conn.Close()
			conn = nil
		}
	}
}

// memoryWatch does what the platform does: it kills a process that uses more than memory_mb, and starts it again.
type memoryWatch struct {
	stop, ended chan struct{}
	kills, peak int
}

func watchMemory(p *play, front *process) *memoryWatch {
	w := &memoryWatch{stop: make(chan struct{}), ended: make(chan struct{})}
	go func() {
		defer close(w.ended)
		for {
			select {
			case <-w.stop:
				return
			case <-time.After(5 * time.Millisecond):
			}
			used := anonymousMB(front)
			w.peak = max(w.peak, used)
			if used <= memoryMB {
				continue
			}
			w.kills++
			p.record.note("%s uses %d MB, more than its limit of %d MB", front.name, used, memoryMB)
			front.signal(syscall.SIGKILL)
			<-front.exited
			time.Sleep(500 * time.Millisecond)
			if err := front.start(); err != nil {
				p.record.note("%s does not start: %v", front.name, err)
				return
			}
		}
	}()
	return w
}

func (w *memoryWatch) end() (kills, peak int) {
	close(w.stop)
	<-w.ended
	return w.kills, w.peak
}

// anonymousMB returns the memory of a process in MB, without that of files such as the program itself.
func anonymousMB(p *process) int {
	text, _ := os.ReadFile("/proc/" + strconv.Itoa(p.command.Process.Pid) + "/status")
	for line := range strings.SplitSeq(string(text), "\n") {
		if value, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")))
			return kb >> 10
		}
	}
	return 0
}
