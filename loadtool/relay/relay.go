package relay

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// bufferBytes is the size of the copy buffer.
const bufferBytes = 32 << 10

// Relay listens on a loopback port and forwards each connection to one target.
type Relay struct {
	target   netip.AddrPort
	listener net.Listener
	running  sync.WaitGroup

	mu          sync.Mutex
	faults      faults
	changed     chan struct{}
	connections map[*connection]struct{}
	closed      bool
}

// faults are the injected faults. Blocked bytes are held and delivered after the fault ends, as if TCP had
// retransmitted them.
type faults struct {
	forwardBlocked  bool
	backwardBlocked bool
	delay           time.Duration
}

// New starts a relay to a target on a free port, without faults.
func New(target netip.AddrPort) (*Relay, error) {
	return Listen(netip.MustParseAddrPort("127.0.0.1:0"), target)
}

// Listen starts a relay to a target on the given address, without faults.
func Listen(address, target netip.AddrPort) (*Relay, error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address.String())
	if err != nil {
		return nil, &Error{Op: "start relay", Kind: KindListen, cause: eris.Wrap(err, "open socket")}
	}
	r := &Relay{target: target, listener: listener, changed: make(chan struct{}), connections: map[*connection]struct{}{}}
	r.running.Go(r.accept)
	return r, nil
}

// Address returns the address on which the relay listens.
func (r *Relay) Address() netip.AddrPort {
	return r.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Block blocks all bytes in both directions, also on new connections, without an error at either end.
func (r *Relay) Block() {
	r.updateFaults(func(f *faults) { f.forwardBlocked, f.backwardBlocked = true, true })
}

// BlockForward blocks all bytes from the client to the target.
func (r *Relay) BlockForward() {
	r.updateFaults(func(f *faults) { f.forwardBlocked = true })
}

// BlockBackward blocks all bytes from the target to the client.
func (r *Relay) BlockBackward() {
	r.updateFaults(func(f *faults) { f.backwardBlocked = true })
}

// Delay delays each block of bytes in each direction.
func (r *Relay) Delay(delay time.Duration) {
	r.updateFaults(func(f *faults) { f.delay = delay })
}

// Heal ends all faults, except that the connections that Stall stalled remain stalled.
func (r *Relay) Heal() {
	r.updateFaults(func(f *faults) { *f = faults{} })
}

// Stall stalls the current connections: they stay open and carry no more bytes, while new connections work.
func (r *Relay) Stall() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.connections {
		conn.stalled = true
	}
	r.notifyChanged()
}

// Drop closes the current connections, while new connections work.
func (r *Relay) Drop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.connections {
		conn.close()
	}
}

// Connections returns the number of open connections that are not stalled.
func (r *Relay) Connections() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for conn := range r.connections {
		if !conn.stalled {
			count++
		}
	}
	return count
}

// Close closes the socket and all connections, and waits until all goroutines of the relay have returned.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.mu.Lock()
	r.closed = true
	for conn := range r.connections {
		conn.close()
	}
	r.notifyChanged()
	r.mu.Unlock()
	r.running.Wait()
}

func (r *Relay) updateFaults(update func(*faults)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	update(&r.faults)
	r.notifyChanged()
}

// notifyChanged wakes the goroutines that wait for the end of a fault; the caller must hold the mutex.
func (r *Relay) notifyChanged() {
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *Relay) accept() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.running.Go(func() { r.serve(client) })
	}
}

func (r *Relay) serve(client net.Conn) {
	conn := newConnection(client)
	if !r.add(conn) {
		conn.close()
		return
	}
	defer r.remove(conn)
	if !r.awaitUnblocked(conn, forward) {
		return
	}
	server, err := net.DialTimeout("tcp", r.target.String(), dialTimeout)
	if err != nil || !conn.setServer(server) {
		return
	}
	var directions sync.WaitGroup
	directions.Go(func() { r.copyBytes(conn, forward, client, server) })
	directions.Go(func() { r.copyBytes(conn, backward, server, client) })
	directions.Wait()
}

func (r *Relay) add(conn *connection) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return false
	}
	r.connections[conn] = struct{}{}
	return true
}

func (r *Relay) remove(conn *connection) {
	r.mu.Lock()
	defer r.mu.Unlock()
	conn.close()
	delete(r.connections, conn)
}

// copyBytes copies bytes in one direction until either end closes. A fault that blocks the bytes also delays the close.
func (r *Relay) copyBytes(conn *connection, dir direction, from, to net.Conn) {
	defer conn.close()
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !r.awaitUnblocked(conn, dir) {
			return
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			r.awaitUnblocked(conn, dir)
			return
		}
	}
}

// awaitUnblocked waits while a fault blocks a direction, then for the injected delay. It returns false if the
// connection was closed in the meantime.
func (r *Relay) awaitUnblocked(conn *connection, dir direction) bool {
	for {
		r.mu.Lock()
		blocked := conn.stalled || r.faults.blocks(dir)
		delay, changed := r.faults.delay, r.changed
		r.mu.Unlock()
		if !blocked {
			return conn.wait(delay)
		}
		select {
		case <-conn.done:
			return false
		case <-changed:
		}
	}
}

func (f faults) blocks(dir direction) bool {
	if dir == forward {
		return f.forwardBlocked
	}
	return f.backwardBlocked
}
