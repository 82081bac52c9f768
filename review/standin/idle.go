package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
	"unsafe"
)

// The case of clients that leave their channels idle for longer than the desired state allows.

const (
	// maxDescriptors is max_fds less the 200 that are reserved for files outside the disk folder.
	maxDescriptors = 4100 - 200
	// newChannelsPerSecond is how many channels clients open and leave idle.
	newChannelsPerSecond = 60
	// openingTime is how long they do.
	openingTime = 75 * time.Second
	idleLimit   = 15 * time.Second
)

func init() { cases["idle"] = prepareIdle }

func prepareIdle(program string, record *recorder, trouble bool) (*play, func(*play) error, error) {
	f, err := newFleet(program, record, "north", "south", "west")
	if err != nil {
		return nil, nil, err
	}
	p := &play{fleet: f, record: record, trouble: trouble}
	if err := f.addMachines(1); err != nil {
		return p, nil, err
	}
	for i, region := range f.regions {
		for n := range 2 {
			f.addRunner(31+2*i+n, region, "desk", "v1", 30*time.Millisecond)
		}
	}
	return p, playIdle, nil
}

// limitDescriptors limits the descriptors of a process, as the platform does.
func limitDescriptors(p *process, limit uint64) error {
	value := syscall.Rlimit{Cur: limit, Max: limit}
	_, _, errno := syscall.RawSyscall6(syscall.SYS_PRLIMIT64, uintptr(p.command.Process.Pid), syscall.RLIMIT_NOFILE,
		uintptr(unsafe.Pointer(&value)), 0, 0, 0)
	if errno != 0 {
		return errno
	}
	return nil
}

func openDescriptors(p *process) int {
	entries, _ := os.ReadDir("/proc/" + strconv.Itoa(p.command.Process.Pid) + "/fd")
	return len(entries)
}

func playIdle(p *play) error {
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
	front := f.fronts[0]
	if err := limitDescriptors(front, maxDescriptors); err != nil {
		return err
	}
	watch := watchReadiness(p, front)
	var open channels
	defer open.closeAll()
	ticker := time.NewTicker(time.Second / newChannelsPerSecond)
	defer ticker.Stop()
	started := time.Now()
	var asking sync.WaitGroup
	for n := 1; time.Since(started) < openingTime; n++ {
		<-ticker.C
		asking.Go(func() { p.askOnce(front, n, &open) })
		if n%(5*newChannelsPerSecond) == 0 {
			p.record.note("%s has %d descriptors open; clients hold %d channels", front.name, openDescriptors(front), open.count())
		}
	}
	asking.Wait()
	return p.judgeChannels(front, watch)
}

// channels holds the channels that clients have left idle.
type channels struct {
	mu   sync.Mutex
	list []net.Conn
}

func (c *channels) add(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.list = append(c.list, conn)
}

func (c *channels) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.list)
}

func (c *channels) closeAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.list {
		_ = conn.Close()
	}
}

// askOnce opens a channel, sends one request on it, and leaves the channel idle. Without the disruption it closes the
// channel once that has been idle for the time that the desired state allows.
func (p *play) askOnce(front *process, n int, open *channels) {
	conn, err := net.DialTimeout("tcp", front.address(portFront), time.Second)
	if err != nil {
		return
	}
	status := exchange(conn, fmt.Sprintf("s-%d", n))
	p.record.note("client gets status %d for s-%d on a new channel", status, n)
	if status == 0 {
		_ = conn.Close()
		return
	}
	open.add(conn)
	if !p.trouble {
		time.AfterFunc(idleLimit, func() { _ = conn.Close() })
	}
}

// exchange sends one request on a channel and returns the status, or 0 without an answer within a second.
func exchange(conn net.Conn, id string) int {
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	defer func() { _ = conn.SetDeadline(time.Time{}) }()
	_, err := fmt.Fprintf(conn, "GET /status/1 HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: 1000\r\n\r\n", host, id)
	if err != nil {
		return 0
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := bufio.NewReader(response.Body).WriteTo(&strings.Builder{}); err != nil {
		return 0
	}
	return response.StatusCode
}

// watchReadiness asks a machine each second whether it is ready, on a kept channel, and returns the latest answer.
func watchReadiness(p *play, front *process) *atomic.Int64 {
	var status atomic.Int64
	client := &http.Client{Timeout: time.Second}
	go func() {
		for front.running() {
			code := int64(0)
			if response, err := client.Get("http://" + front.address(portReady) + "/readiness"); err == nil {
				_ = response.Body.Close()
				code = int64(response.StatusCode)
			}
			if status.Swap(code) != code {
				p.record.note("the readiness check of %s gets status %d", front.name, code)
			}
			time.Sleep(time.Second)
		}
	}()
	return &status
}

// judgeChannels lets ten clients try new channels for longer than contact_ms. The rule is broken if the machine says all
// the while that it is ready and takes none.
func (p *play) judgeChannels(front *process, ready *atomic.Int64) error {
	var served atomic.Int64
	saysReady := true
	from := time.Now()
	var clients sync.WaitGroup
	for client := range 10 {
		clients.Go(func() {
			for n := 1; time.Since(from) < contactTime+time.Second; n++ {
				id := fmt.Sprintf("t%d-%d", client, n)
				status := 0
				if conn, err := net.DialTimeout("tcp", front.address(portFront), time.Second); err == nil {
					status = exchange(conn, id)
					_ = conn.Close()
				}
				if status != 0 {
					served.Add(1)
				}
				p.record.note("client gets status %d for %s on a new channel", status, id)
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	for time.Since(from) < contactTime {
		saysReady = saysReady && ready.Load() == http.StatusOK
		time.Sleep(100 * time.Millisecond)
	}
	clients.Wait()
	p.record.note("in %.1f s, ten clients tried new channels: %d were taken; the machine said all the while that it is ready: %t; descriptors open: %d",
		time.Since(from).Seconds(), served.Load(), saysReady, openDescriptors(front))
	if served.Load() == 0 && saysReady {
		return fmt.Errorf("%w: %s says that it is ready and took no new channel for %.0f s", errBroken, front.name, time.Since(from).Seconds())
	}
	return nil
}
