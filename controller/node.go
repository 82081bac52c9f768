package main

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"sequoiaspread.example/sequoia/enforcer"
	"sequoiaspread.example/sequoia/loader"
	"sequoiaspread.example/sequoia/messenger"
	"sequoiaspread.example/sequoia/parser"
	"sequoiaspread.example/sequoia/promoter"
	"sequoiaspread.example/sequoia/replicator"
)

// learnedLimit bounds the memory that senders can take; at most 7 VMs are planned for control.
const learnedLimit = 64

// node is one controller: the agreement, the agreed state and the connections to the others.
type node struct {
	id       replicator.MemberID
	settings *loader.Settings
	logger   logrus.FieldLogger
	pool     *messenger.Pool
	driver   *driver
	pollers  *pollers
	status   atomic.Pointer[replicator.Status]
	retired  atomic.Bool
	// collectors are the metrics of the extensions.
	collectors []prometheus.Collector
	reports    *reports

	mu       sync.RWMutex
	state    *promoter.Promoter
	enforcer *enforcer.Enforcer
	document *parser.Document
	changed  chan struct{}
	// learned holds the addresses that members gave with their messages.
	learned map[replicator.MemberID]netip.AddrPort
}

func newNode(id replicator.MemberID, settings *loader.Settings, logger logrus.FieldLogger, pool *messenger.Pool) *node {
	return &node{
		id: id, settings: settings, logger: logger.WithField("member", string(id)), pool: pool, pollers: newPollers(),
		state: promoter.New(promoter.Config{}, promoter.Genesis{}), enforcer: enforcer.New(enforcer.Config{}),
		changed: make(chan struct{}), learned: map[replicator.MemberID]netip.AddrPort{},
	}
}

// Read calls visit with the agreed state as applied here; visit must not keep or change it.
func (n *node) Read(visit func(state *promoter.Promoter)) {
	n.mu.RLock()
	defer n.mu.RUnlock()
	visit(n.state)
}

// Changed returns a channel that is closed at the next change of the agreed state.
func (n *node) Changed() <-chan struct{} {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.changed
}

// MemberID returns the member id of this controller, "<vm>#<incarnation of its disk>".
func (n *node) MemberID() string {
	return string(n.id)
}

// IsLeader reports whether this controller leads the agreement.
func (n *node) IsLeader() bool {
	return n.status.Load().Role == replicator.RoleLeader
}

// Document returns the parsed document in force here, or nil before there is one; it must not be changed.
func (n *node) Document() *parser.Document {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.document
}

// AddressOf returns the jsonrpc2 address of a member.
func (n *node) AddressOf(member string) (netip.AddrPort, bool) {
	return n.addressOf(replicator.MemberID(member), n.status.Load().Membership)
}

// learnAddress remembers where a member answers that sent a message.
func (n *node) learnAddress(id replicator.MemberID, address netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, known := n.learned[id]; known || len(n.learned) < learnedLimit {
		n.learned[id] = address
	}
}

// addressOf prefers the agreed address and falls back to the document, then to the address that the member gave: a
// member with an empty disk knows neither membership nor document when the leader's first message arrives.
func (n *node) addressOf(id replicator.MemberID, membership replicator.Membership) (netip.AddrPort, bool) {
	if address, ok := membership.Addresses[id]; ok {
		return address, true
	}
	n.mu.RLock()
	defer n.mu.RUnlock()
	if n.document != nil {
		if vm, ok := n.document.VM(id.VM()); ok && vm.HasController() {
			return vm.ControllerAddress.AddrPort, true
		}
	}
	address, ok := n.learned[id]
	return address, ok && address.IsValid()
}

// input hands something to the driver; it fails when the context ends first.
func (n *node) input(ctx context.Context, in input) error {
	select {
	case n.driver.inputs <- in:
		return nil
	case <-ctx.Done():
		return wrapError("hand over input", kindStopped, ctx.Err())
	}
}

func (n *node) setStatus(status replicator.Status) {
	n.status.Store(&status)
}

func (n *node) apply(command promoter.Command) promoter.Outcome {
	n.mu.Lock()
	defer n.mu.Unlock()
	outcome := n.state.Apply(command)
	n.announceChange()
	return outcome
}

func (n *node) restore(data []byte) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if err := n.state.Restore(data); err != nil {
		return err
	}
	n.announceChange()
	return nil
}

func (n *node) snapshot() ([]byte, error) {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.state.Snapshot()
}

func (n *node) agreedDocument() ([]byte, uint64) {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.state.Document()
}

func (n *node) enforcedVersion() uint64 {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.enforcer.Current().Version
}

// enforce puts a document in force that is durable here already.
func (n *node) enforce(document enforcer.Document) error {
	parsed, err := parser.Parse("document", document.Text)
	if err != nil {
		n.logger.WithError(err).Error("the agreed document cannot be read by this program; the last readable one stays in use")
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, err := n.enforcer.Offer(document); err != nil {
		return wrapError("enforce document", kindAgreement, err)
	}
	if parsed != nil {
		n.document = parsed
	}
	n.announceChange()
	n.logger.WithField("version", document.Version).Info("document version is in force")
	return nil
}

// announceChange wakes those who wait for a change; the caller holds the lock.
func (n *node) announceChange() {
	close(n.changed)
	n.changed = make(chan struct{})
}
