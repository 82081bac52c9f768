package main

import (
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"sequoiaspread.example/sequoia/agreer"
	"sequoiaspread.example/sequoia/enforcer"
	"sequoiaspread.example/sequoia/loader"
	"sequoiaspread.example/sequoia/messenger"
	"sequoiaspread.example/sequoia/parser"
	"sequoiaspread.example/sequoia/promoter"
	"sequoiaspread.example/sequoia/replicator"
)

// node is one controller: the agreement, the agreed state and the connections to the others.
type node struct {
	id       replicator.MemberID
	settings *loader.Settings
	logger   logrus.FieldLogger
	pool     *messenger.Pool
	// agreement is set once, when the controller is assembled.
	agreement *agreer.Agreer[promoter.Command, promoter.Outcome]
	pollers   *pollers
	retired   atomic.Bool
	// collectors are the metrics of the extensions.
	collectors []prometheus.Collector
	reports    *reports

	mu       sync.RWMutex
	state    *promoter.Promoter
	enforcer *enforcer.Enforcer
	document *parser.Document
	changed  chan struct{}
}

func newNode(id replicator.MemberID, settings *loader.Settings, logger logrus.FieldLogger, pool *messenger.Pool) *node {
	return &node{
		id: id, settings: settings, logger: logger.WithField("member", string(id)), pool: pool, pollers: newPollers(),
		state: promoter.New(promoter.Config{}, promoter.Genesis{}), enforcer: enforcer.New(enforcer.Config{}),
		changed: make(chan struct{}),
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
	return n.agreement.IsLeader()
}

// Document returns the parsed document in force here, or nil before there is one; it must not be changed.
func (n *node) Document() *parser.Document {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.document
}

// AddressOf returns the jsonrpc2 address of a member.
func (n *node) AddressOf(member string) (netip.AddrPort, bool) {
	return n.agreement.MemberAddress(replicator.MemberID(member), n.agreement.Status().Membership)
}

// documentAddress returns where the document in force says that the controller of a member's VM answers.
func (n *node) documentAddress(id replicator.MemberID) (netip.AddrPort, bool) {
	n.mu.RLock()
	defer n.mu.RUnlock()
	if n.document == nil {
		return netip.AddrPort{}, false
	}
	vm, ok := n.document.VM(id.VM())
	if !ok || !vm.HasController() {
		return netip.AddrPort{}, false
	}
	return vm.ControllerAddress.AddrPort, true
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
