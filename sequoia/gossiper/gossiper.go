package gossiper

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"sequoiaspread.example/sequoia/dispatcher"
)

const (
	// sendInterval limits the age of load information within an availability zone of up to peersPerInterval peers. An
	// upstream receives one or two requests in that time.
	sendInterval = 100 * time.Millisecond
	// peersPerInterval is the number of peers in the local availability zone up to which every interval sends to all
	// of them. With more peers, sends are less frequent, so that the number of datagrams per VM is bounded.
	peersPerInterval = 15
	// refreshIntervals is the number of intervals after which an unchanged load update is sent again.
	refreshIntervals = 9
	// otherZoneIntervals is the number of intervals between load updates to other availability zones, because traffic
	// on those links is expensive.
	otherZoneIntervals = 6
	maxDatagramBytes   = 1400
	// maxParts limits the datagrams of one load update.
	maxParts = 16
)

// Kind classifies an error of this package.
type Kind string

// Kinds of errors.
const (
	KindListen Kind = "listen"
	KindEncode Kind = "encode"
)

// Error is the error type of this package, with the operation, the kind and the cause.
type Error struct {
	Op    string
	Kind  Kind
	cause error
}

func wrapError(op string, kind Kind, cause error) *Error {
	return &Error{Op: op, Kind: kind, cause: eris.Wrap(cause, op)}
}

// Error returns the operation, the kind and the cause as text.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.cause
}

// Config holds the settings and callbacks of a Gossiper.
type Config struct {
	Name    string
	Address netip.AddrPort
	// LocalLoad returns the in-flight load of this VM by upstream.
	LocalLoad func() map[dispatcher.UpstreamKey]dispatcher.Sent
	// OnPeerLoad is called with a part of the in-flight load of another VM.
	OnPeerLoad func(name string, part dispatcher.LoadPart, sent map[dispatcher.UpstreamKey]dispatcher.Sent)
	// LocalReports returns what this VM tells the others about what upstreams stated, and OnPeerReports is called with
	// what another VM tells; both may be nil.
	LocalReports  func() dispatcher.Reports
	OnPeerReports func(reports dispatcher.Reports)
	Logger        logrus.FieldLogger
}

// Gossiper sends the load of this VM to its peers and receives theirs.
type Gossiper struct {
	config     Config
	mu         sync.Mutex
	sameZone   []netip.AddrPort
	otherZones []netip.AddrPort
}

// loadUpdate is the content of one datagram. An update with too many upstreams for one datagram is sent in parts.
type loadUpdate struct {
	Name    string                                            `cbor:"1,keyasint"`
	Sent    map[dispatcher.UpstreamKey]dispatcher.Sent        `cbor:"2,keyasint,omitempty"`
	Limits  map[dispatcher.UpstreamKey]dispatcher.LimitReport `cbor:"3,keyasint,omitempty"`
	Leaving dispatcher.LeavingReports                         `cbor:"4,keyasint,omitempty"`
	// Part is the number of this part, and Parts the number of all; both are left out if there is only one.
	Part  int `cbor:"5,keyasint,omitempty"`
	Parts int `cbor:"6,keyasint,omitempty"`
	// Restarts names the upstreams that the VM cannot connect to.
	Restarts dispatcher.RestartReports `cbor:"7,keyasint,omitempty"`
}

// New returns a gossiper without peers.
func New(config Config) *Gossiper {
	return &Gossiper{config: config}
}

// SetPeers replaces the addresses of the other entry VMs of the region, split into those of the local availability
// zone and those of other zones.
func (g *Gossiper) SetPeers(sameZone, otherZones []netip.AddrPort) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sameZone, g.otherZones = sameZone, otherZones
}

// Run sends and receives load updates until the context is cancelled.
func (g *Gossiper) Run(ctx context.Context) error {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(g.config.Address))
	if err != nil {
		return wrapError("listen", KindListen, err)
	}
	stop := context.AfterFunc(ctx, func() { _ = socket.Close() })
	defer stop()
	var receiver sync.WaitGroup
	receiver.Go(func() { g.receive(socket) })
	g.send(ctx, socket)
	receiver.Wait()
	return nil
}

func (g *Gossiper) send(ctx context.Context, socket *net.UDPConn) {
	ticker := time.NewTicker(sendInterval)
	defer ticker.Stop()
	var sameZoneFilter, otherZonesFilter changeFilter
	for round := 0; ; round++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		datagrams, err := encode(g.localUpdate())
		if err != nil {
			g.config.Logger.WithError(err).Error("encoding the load update failed; not sent to any peer")
			continue
		}
		g.mu.Lock()
		sameZone, otherZones := g.sameZone, g.otherZones
		g.mu.Unlock()
		if round%sameZoneIntervals(len(sameZone)) == 0 && sameZoneFilter.shouldSend(datagrams, refreshIntervals/sameZoneIntervals(len(sameZone))) {
			g.sendToAll(socket, datagrams, sameZone)
		}
		if round%otherZoneIntervals == 0 && otherZonesFilter.shouldSend(datagrams, refreshIntervals/otherZoneIntervals) {
			g.sendToAll(socket, datagrams, otherZones)
		}
	}
}

func (g *Gossiper) localUpdate() loadUpdate {
	update := loadUpdate{Name: g.config.Name, Sent: g.config.LocalLoad()}
	if g.config.LocalReports != nil {
		reports := g.config.LocalReports()
		update.Limits, update.Leaving, update.Restarts = reports.Limits, reports.Leaving, reports.Restarts
	}
	return update
}

// sameZoneIntervals returns the number of intervals between two load updates to the local availability zone with the
// given number of peers.
func sameZoneIntervals(peers int) int {
	return max(1, (peers+peersPerInterval-1)/peersPerInterval)
}

// changeFilter suppresses load updates that have not changed, but sends one after a limited number of suppressed ones.
type changeFilter struct {
	last      string
	sinceSent int
}

func (f *changeFilter) shouldSend(datagrams [][]byte, refresh int) bool {
	f.sinceSent++
	content := string(bytes.Join(datagrams, nil))
	if content == f.last && f.sinceSent < refresh {
		return false
	}
	f.last, f.sinceSent = content, 0
	return true
}

func (g *Gossiper) sendToAll(socket *net.UDPConn, datagrams [][]byte, peers []netip.AddrPort) {
	for _, peer := range peers {
		for _, data := range datagrams {
			if _, err := socket.WriteToUDPAddrPort(data, peer); err != nil {
				g.config.Logger.WithField("peer", peer.String()).WithError(err).Debug("load update not sent")
			}
		}
	}
}

// encode returns the datagrams of a load update. Their keys are sorted, so that equal load updates have equal bytes.
func encode(update loadUpdate) ([][]byte, error) {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		return nil, wrapError("encode", KindEncode, err)
	}
	for count := 1; count <= maxParts; count++ {
		datagrams, err := encodeParts(mode, update, count)
		if err != nil {
			return nil, wrapError("encode", KindEncode, err)
		}
		if !slices.ContainsFunc(datagrams, func(data []byte) bool { return len(data) > maxDatagramBytes }) {
			return datagrams, nil
		}
	}
	return nil, wrapError("encode", KindEncode, eris.Errorf("load update of %d upstreams does not fit in %d datagrams", len(update.Sent), maxParts))
}

func encodeParts(mode cbor.EncMode, update loadUpdate, count int) ([][]byte, error) {
	datagrams := make([][]byte, count)
	for number := range count {
		data, err := mode.Marshal(update.part(dispatcher.LoadPart{Number: number, Count: count}))
		if err != nil {
			return nil, err
		}
		datagrams[number] = data
	}
	return datagrams, nil
}

// part returns one part of the load update.
func (u loadUpdate) part(part dispatcher.LoadPart) loadUpdate {
	if part.Count == 1 {
		return u
	}
	return loadUpdate{
		Name: u.Name, Part: part.Number, Parts: part.Count,
		Sent: keysOf(u.Sent, part), Limits: keysOf(u.Limits, part), Leaving: keysOf(u.Leaving, part),
		Restarts: keysOf(u.Restarts, part),
	}
}

// keysOf returns the entries of the upstreams that belong to a part.
func keysOf[V any](all map[dispatcher.UpstreamKey]V, part dispatcher.LoadPart) map[dispatcher.UpstreamKey]V {
	entries := map[dispatcher.UpstreamKey]V{}
	for key, value := range all {
		if part.Contains(key) {
			entries[key] = value
		}
	}
	return entries
}

func (g *Gossiper) receive(socket *net.UDPConn) {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, from, err := socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			g.config.Logger.WithError(err).Debug("receiving a datagram failed")
			continue
		}
		var update loadUpdate
		if err := decode(buffer[:n], &update); err != nil || update.Name == "" {
			g.config.Logger.WithField("peer", from.String()).WithError(err).Info("received a load update that cannot be decoded or names no VM")
			continue
		}
		g.config.OnPeerLoad(update.Name, dispatcher.LoadPart{Number: update.Part, Count: max(1, update.Parts)}, update.Sent)
		if g.config.OnPeerReports != nil {
			g.config.OnPeerReports(dispatcher.Reports{Limits: update.Limits, Leaving: update.Leaving, Restarts: update.Restarts})
		}
	}
}

func decode(data []byte, update *loadUpdate) error {
	return cbor.Unmarshal(data, update)
}
