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

// node holds the consensus member of a controller, the replicated state and the connections to other controllers.
type node struct {
	id       replicator.MemberID
	settings *loader.Settings
	logger   logrus.FieldLogger
	pool     *messenger.Pool
	// consensus is set once, when the controller is assembled.
	consensus *agreer.Agreer[promoter.Command, promoter.Outcome]
	pollers   *pollers
	retired   atomic.Bool
	// collectors are the metrics that the extensions add.
	collectors []prometheus.Collector
	reports    *reportStore

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

// Read calls visit with the replicated state as applied on this node; visit must not keep or change it.
func (n *node) Read(visit func(state *promoter.Promoter)) {
	n.mu.RLock()
	defer n.mu.RUnlock()
	visit(n.state)
}

// Changed returns a channel that is closed at the next change of the replicated state or of the enforced document.
func (n *node) Changed() <-chan struct{} {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.changed
}

// MemberID returns the member id of this controller, "<vm>#<incarnation of its disk>".
func (n *node) MemberID() string {
	return string(n.id)
}

// IsLeader reports whether this controller is the leader of the consensus group.
func (n *node) IsLeader() bool {
	return n.consensus.IsLeader()
}

// Document returns the document that this node enforces, or nil if there is none yet; callers must not change it.
func (n *node) Document() *parser.Document {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.document
}

// AddressOf returns the jsonrpc2 address of a member.
func (n *node) AddressOf(member string) (netip.AddrPort, bool) {
	return n.consensus.MemberAddress(replicator.MemberID(member), n.consensus.Status().Membership)
}

// resolveAddress returns the controller address that the enforced document gives for the VM of a member.
func (n *node) resolveAddress(id replicator.MemberID) (netip.AddrPort, bool) {
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
	n.notifyChange()
	return outcome
}

func (n *node) restore(data []byte) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if err := n.state.Restore(data); err != nil {
		return err
	}
	n.notifyChange()
	return nil
}

func (n *node) snapshot() ([]byte, error) {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.state.Snapshot()
}

func (n *node) committedDocument() ([]byte, uint64) {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.state.Document()
}

func (n *node) enforcedVersion() uint64 {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.enforcer.Current().Version
}

// enforce makes a document the current one; the document must already be durable on this node.
func (n *node) enforce(document enforcer.Document) error {
	parsed, err := parser.Parse("document", document.Text)
	if err != nil {
		n.logger.WithError(err).Error("cannot parse the committed document; keeping the last document that could be parsed")
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, err := n.enforcer.Offer(document); err != nil {
		return wrapError("enforce document", kindConsensus, err)
	}
	if parsed != nil {
		n.document = parsed
	}
	n.notifyChange()
	n.logger.WithField("version", document.Version).Info("document version enforced")
	return nil
}

// notifyChange wakes the goroutines that wait on Changed; the caller must hold the lock.
func (n *node) notifyChange() {
	close(n.changed)
	n.changed = make(chan struct{})
}
