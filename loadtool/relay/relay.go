package relay

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// bufferBytes is the largest piece that is passed on at once.
const bufferBytes = 32 << 10

// Relay listens on a loopback port and passes each connection to one target.
type Relay struct {
	target   netip.AddrPort
	listener net.Listener
	running  sync.WaitGroup

	mu      sync.Mutex
	faults  faults
	changed chan struct{}
	links   map[*link]struct{}
	closed  bool
}

// faults are the faults in force; bytes that a fault stops are held and pass after it ends, as TCP resends them.
type faults struct {
	forwardCut  bool
	backwardCut bool
	delay       time.Duration
}

// New starts a relay to a target without faults, on a free port.
func New(target netip.AddrPort) (*Relay, error) {
	return Listen(netip.MustParseAddrPort("127.0.0.1:0"), target)
}

// Listen starts a relay on an address to a target without faults.
func Listen(address, target netip.AddrPort) (*Relay, error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address.String())
	if err != nil {
		return nil, &Error{Op: "start relay", Kind: KindListen, cause: eris.Wrap(err, "open socket")}
	}
	r := &Relay{target: target, listener: listener, changed: make(chan struct{}), links: map[*link]struct{}{}}
	r.running.Go(r.accept)
	return r, nil
}

// Address returns the address on which the relay listens.
func (r *Relay) Address() netip.AddrPort {
	return r.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Cut stops all bytes in both directions, on new connections too, without an error to either end.
func (r *Relay) Cut() {
	r.set(func(f *faults) { f.forwardCut, f.backwardCut = true, true })
}

// CutForward stops all bytes from the dialling end to the target.
func (r *Relay) CutForward() {
	r.set(func(f *faults) { f.forwardCut = true })
}

// CutBackward stops all bytes from the target to the dialling end.
func (r *Relay) CutBackward() {
	r.set(func(f *faults) { f.backwardCut = true })
}

// Delay holds each piece of bytes for a time in each direction.
func (r *Relay) Delay(delay time.Duration) {
	r.set(func(f *faults) { f.delay = delay })
}

// Heal ends all faults but those of silenced connections.
func (r *Relay) Heal() {
	r.set(func(f *faults) { *f = faults{} })
}

// Silence keeps the current connections open without passing another byte; new connections work.
func (r *Relay) Silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for each := range r.links {
		each.silent = true
	}
	r.notify()
}

// Drop closes the current connections; new connections work.
func (r *Relay) Drop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for each := range r.links {
		each.close()
	}
}

// Connections returns the number of open connections that are not silenced.
func (r *Relay) Connections() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for each := range r.links {
		if !each.silent {
			count++
		}
	}
	return count
}

// Close closes the socket and all connections, and returns when nothing of the relay runs any more.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.mu.Lock()
	r.closed = true
	for each := range r.links {
		each.close()
	}
	r.notify()
	r.mu.Unlock()
	r.running.Wait()
}

func (r *Relay) set(change func(*faults)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.faults)
	r.notify()
}

// notify wakes the directions that wait for the end of a fault; the mutex is held.
func (r *Relay) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *Relay) accept() {
	for {
		near, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.running.Go(func() { r.serve(near) })
	}
}

func (r *Relay) serve(near net.Conn) {
	each := newLink(near)
	if !r.add(each) {
		each.close()
		return
	}
	defer r.remove(each)
	if !r.pass(each, forward) {
		return
	}
	far, err := net.DialTimeout("tcp", r.target.String(), dialTimeout)
	if err != nil || !each.connect(far) {
		return
	}
	var directions sync.WaitGroup
	directions.Go(func() { r.pump(each, forward, near, far) })
	directions.Go(func() { r.pump(each, backward, far, near) })
	directions.Wait()
}

func (r *Relay) add(each *link) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return false
	}
	r.links[each] = struct{}{}
	return true
}

func (r *Relay) remove(each *link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	each.close()
	delete(r.links, each)
}

// pump passes bytes in one direction until an end closes. A fault that stops the bytes also hides the close.
func (r *Relay) pump(each *link, way direction, from, to net.Conn) {
	defer each.close()
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !r.pass(each, way) {
			return
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			r.pass(each, way)
			return
		}
	}
}

// pass waits while a fault stops a direction, and reports false when the connection was closed meanwhile.
func (r *Relay) pass(each *link, way direction) bool {
	for {
		r.mu.Lock()
		stopped := each.silent || r.faults.stops(way)
		delay, changed := r.faults.delay, r.changed
		r.mu.Unlock()
		if !stopped {
			return each.wait(delay)
		}
		select {
		case <-each.done:
			return false
		case <-changed:
		}
	}
}

func (f faults) stops(way direction) bool {
	if way == forward {
		return f.forwardCut
	}
	return f.backwardCut
}
