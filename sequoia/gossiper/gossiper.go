package gossiper

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"sequoiaspread.example/sequoia/dispatcher"
)

const (
	// interval is the age that a statement reaches within an availability zone; an upstream takes one request or two in
	// that time.
	interval = 100 * time.Millisecond
	// nearPeers is the number of peers that are told in one interval; more of them are told less often, so that the
	// datagrams of a VM stay bounded.
	nearPeers = 15
	// quietRounds is the number of intervals after which an unchanged statement is sent all the same.
	quietRounds = 9
	// farRounds is the number of intervals between statements to other availability zones, whose links are dear.
	farRounds   = 6
	maxDatagram = 1400
)

// Kind classifies an error of this package.
type Kind string

// Kinds of errors.
const (
	KindListen Kind = "listen"
	KindEncode Kind = "encode"
)

// Error is the error of this package: the operation, the kind and the cause.
type Error struct {
	Op    string
	Kind  Kind
	cause error
}

func wrapError(op string, kind Kind, cause error) *Error {
	return &Error{Op: op, Kind: kind, cause: eris.Wrap(cause, op)}
}

// Error describes the operation, the kind and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.cause
}

// Config holds the parts of a Gossiper.
type Config struct {
	Name    string
	Address netip.AddrPort
	// Own returns what this VM has at the upstreams.
	Own func() map[dispatcher.UpstreamKey]dispatcher.Sent
	// Hear takes what another VM has.
	Hear   func(name string, sent map[dispatcher.UpstreamKey]dispatcher.Sent)
	Logger logrus.FieldLogger
}

// Gossiper sends and receives statements.
type Gossiper struct {
	config Config
	mu     sync.Mutex
	near   []netip.AddrPort
	far    []netip.AddrPort
}

// statement is one datagram.
type statement struct {
	Name string                                     `cbor:"1,keyasint"`
	Sent map[dispatcher.UpstreamKey]dispatcher.Sent `cbor:"2,keyasint,omitempty"`
}

// New returns a gossiper without peers.
func New(config Config) *Gossiper {
	return &Gossiper{config: config}
}

// SetPeers replaces the addresses of the other entry VMs of the region: those of the own availability zone, and those
// of others.
func (g *Gossiper) SetPeers(near, far []netip.AddrPort) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.near, g.far = near, far
}

// Run sends and receives until the context ends.
func (g *Gossiper) Run(ctx context.Context) error {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(g.config.Address))
	if err != nil {
		return wrapError("listen", KindListen, err)
	}
	stop := context.AfterFunc(ctx, func() { _ = socket.Close() })
	defer stop()
	var work sync.WaitGroup
	work.Go(func() { g.receive(socket) })
	g.send(ctx, socket)
	work.Wait()
	return nil
}

func (g *Gossiper) send(ctx context.Context, socket *net.UDPConn) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	var near, far repeat
	for round := 0; ; round++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		data, err := encode(statement{Name: g.config.Name, Sent: g.config.Own()})
		if err != nil {
			g.config.Logger.WithError(err).Error("statement not sent")
			continue
		}
		g.mu.Lock()
		toNear, toFar := g.near, g.far
		g.mu.Unlock()
		if round%nearRounds(len(toNear)) == 0 && near.due(data, quietRounds/nearRounds(len(toNear))) {
			g.spread(socket, data, toNear)
		}
		if round%farRounds == 0 && far.due(data, quietRounds/farRounds) {
			g.spread(socket, data, toFar)
		}
	}
}

// nearRounds is the number of intervals between statements to a number of peers in the own availability zone.
func nearRounds(peers int) int {
	return max(1, (peers+nearPeers-1)/nearPeers)
}

// repeat leaves out statements that say nothing new, but not many in a row.
type repeat struct {
	last      string
	unchanged int
}

func (r *repeat) due(data []byte, quiet int) bool {
	r.unchanged++
	if string(data) == r.last && r.unchanged < quiet {
		return false
	}
	r.last, r.unchanged = string(data), 0
	return true
}

func (g *Gossiper) spread(socket *net.UDPConn, data []byte, peers []netip.AddrPort) {
	for _, peer := range peers {
		if _, err := socket.WriteToUDPAddrPort(data, peer); err != nil {
			g.config.Logger.WithField("peer", peer.String()).WithError(err).Debug("statement not sent")
		}
	}
}

// encode returns a datagram with sorted keys, so that equal statements have equal bytes.
func encode(s statement) ([]byte, error) {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		return nil, wrapError("encode", KindEncode, err)
	}
	data, err := mode.Marshal(s)
	if err != nil {
		return nil, wrapError("encode", KindEncode, err)
	}
	if len(data) > maxDatagram {
		return nil, wrapError("encode", KindEncode, eris.Errorf("the statement has %d bytes", len(data)))
	}
	return data, nil
}

func (g *Gossiper) receive(socket *net.UDPConn) {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			g.config.Logger.WithError(err).Debug("statement not received")
			continue
		}
		var s statement
		if err := unmarshal(buffer[:n], &s); err != nil || s.Name == "" {
			g.config.Logger.WithField("peer", from.String()).WithError(err).Info("datagram is no statement")
			continue
		}
		g.config.Hear(s.Name, s.Sent)
	}
}

func unmarshal(data []byte, s *statement) error {
	return cbor.Unmarshal(data, s)
}
