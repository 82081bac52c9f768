package main

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"path/filepath"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"sequoiaspread.example/sequoia/agreer"
	"sequoiaspread.example/sequoia/configserver"
	"sequoiaspread.example/sequoia/enforcer"
	"sequoiaspread.example/sequoia/loader"
	"sequoiaspread.example/sequoia/messenger"
	"sequoiaspread.example/sequoia/promoter"
	"sequoiaspread.example/sequoia/storer"
)

const (
	// transferTimeout is how long a stopping leader waits for another voter to become the leader.
	transferTimeout       = 3 * time.Second
	transferRetryInterval = 50 * time.Millisecond
	shutdownTimeout       = 5 * time.Second
	headerReadTimeout     = 5 * time.Second
	// defaultOperatorPort is the port on the loopback address that is used if the settings give no operator address.
	defaultOperatorPort = 7091
)

// controller holds the assembled components of the program.
type controller struct {
	settings   *loader.Settings
	logger     logrus.FieldLogger
	closeStore func() error
	node       *node
	pool       *messenger.Pool
	operator   *operatorAPI
	handler    messenger.Handler
	extensions []extension
	disk       *agreer.Disk
}

// newController opens the data folder and assembles the components.
func newController(settings *loader.Settings, logger logrus.FieldLogger) (*controller, error) {
	key, err := readOperatorKey(settings.OperatorKeyFile)
	if err != nil {
		return nil, err
	}
	store, err := openStore(settings.DataFolder)
	if err != nil {
		return nil, err
	}
	c, err := assemble(settings, logger, store)
	if err != nil {
		return nil, errors.Join(err, store.Close())
	}
	c.closeStore = store.Close
	c.operator = &operatorAPI{node: c.node, keyDigest: key}
	return c, nil
}

// storeFile is the file in the data folder that stores the consensus state.
const storeFile = "controller.db"

func openStore(folder string) (*storer.Store, error) {
	store, err := storer.Open(storer.Config{Path: filepath.Join(folder, storeFile)})
	if err != nil {
		return nil, wrapError("open data folder", kindDisk, err)
	}
	return store, nil
}

// assemble creates a controller that uses the given store.
func assemble(settings *loader.Settings, logger logrus.FieldLogger, store agreer.Store) (*controller, error) {
	disk := agreer.NewDisk(store)
	id, durableState, err := loadMember(disk, settings.VM)
	if err != nil {
		return nil, err
	}
	tlsConfig, err := settings.TLS.Config()
	if err != nil {
		return nil, wrapError("load TLS files", kindSettings, err)
	}
	pool := messenger.NewPool(messenger.PoolConfig{Overrides: settings.Overrides(), Logger: logger, TLS: tlsConfig})
	n := newNode(id, settings, logger, pool)
	fsm := &stateMachine{node: n, disk: disk}
	n.consensus, err = agreer.New(agreer.Config[promoter.Command, promoter.Outcome]{
		ID: id, Address: settings.ControllerAddress, Disk: disk, DurableState: durableState, StateMachine: fsm, Pool: pool,
		Logger: n.logger, ResolveAddress: n.resolveAddress,
	})
	if err != nil {
		return nil, wrapError("load consensus state", kindConsensus, err)
	}
	if err := n.restoreEnforced(fsm); err != nil {
		n.consensus.Close()
		return nil, err
	}
	c := &controller{settings: settings, logger: n.logger, node: n, pool: pool, disk: disk}
	c.extensions = newExtensions(n)
	c.handler = c.buildMethodTable()
	return c, nil
}

// restoreEnforced enforces the stored document, or the committed one if its version is higher.
func (n *node) restoreEnforced(fsm *stateMachine) error {
	document, err := fsm.loadEnforced()
	if err != nil {
		return err
	}
	text, version := n.committedDocument()
	if version > document.Version {
		document = enforcer.Document{Version: version, Text: text}
	}
	if document.Version == 0 {
		return nil
	}
	return n.enforce(document)
}

// run serves until the context is cancelled. A graceful drain transfers leadership, then stops the HTTP servers, the
// jsonrpc2 server, and last the consensus member, which the requests in progress on both need.
func (c *controller) run(ctx context.Context) error {
	defer c.close()
	runCtx, cancelRun := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelRun()
	group, groupCtx := errgroup.WithContext(runCtx)
	operatorServers, rpcServers := newServerGroup(groupCtx, group), newServerGroup(groupCtx, group)
	group.Go(func() error { return c.node.consensus.Run(groupCtx) })
	group.Go(func() error { return c.node.reconcileMembership(groupCtx) })
	for _, ext := range c.extensions {
		group.Go(func() error { return ext.run(groupCtx) })
	}
	rpcServers.start(c.server().Run)
	operatorServers.start(func(ctx context.Context) error { return c.serveHTTP(ctx, c.operatorAddress(), c.operator.routes()) })
	operatorServers.start(func(ctx context.Context) error {
		return c.serveHTTP(ctx, c.settings.AdminAddress, c.node.adminRoutes())
	})
	select {
	case <-ctx.Done():
		c.drainExtensions(groupCtx)
		c.transferLeadership(groupCtx)
	case <-groupCtx.Done():
	}
	operatorServers.stop()
	rpcServers.stop()
	cancelRun()
	err := group.Wait()
	if err != nil {
		c.logger.WithError(err).Error("controller failed; stopping")
	}
	return err
}

func (c *controller) close() {
	c.node.consensus.Close()
	_ = c.pool.Close()
	if c.closeStore == nil {
		return
	}
	if err := c.closeStore(); err != nil {
		c.logger.WithError(err).Warn("failed to close the store")
	}
}

func (c *controller) buildMethodTable() *methodTable {
	table := newMethodTable()
	for name, handler := range configserver.NewHandler(c.node).Methods() {
		table.register(name, handler)
	}
	for name, handler := range c.node.consensus.Methods(c.node.validateJoin) {
		table.register(name, handler)
	}
	for _, ext := range c.extensions {
		ext.register(table)
	}
	return table
}

func (c *controller) server() *messenger.Server {
	// assemble has already read the TLS files successfully, so the error is ignored.
	tlsConfig, _ := c.settings.TLS.Config()
	return messenger.NewServer(messenger.ServerConfig{
		Address: c.settings.ControllerAddress, Handler: c.handler, Logger: c.logger, TLS: tlsConfig,
	})
}

// transferLeadership transfers leadership to another voter and waits until there is a new leader.
func (c *controller) transferLeadership(ctx context.Context) {
	if !c.node.IsLeader() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	ticker := time.NewTicker(transferRetryInterval)
	defer ticker.Stop()
	for c.node.consensus.Status().Leader == "" || c.node.IsLeader() {
		if err := c.node.consensus.TransferLeadership(ctx); err != nil {
			return
		}
		select {
		case <-ctx.Done():
			c.logger.Warn("leadership transfer timed out")
			return
		case <-ticker.C:
		}
	}
	c.logger.Info("leadership transferred")
}

func (c *controller) operatorAddress() netip.AddrPort {
	if c.settings.OperatorAddress.IsValid() {
		return c.settings.OperatorAddress
	}
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), defaultOperatorPort)
}

func (c *controller) serveHTTP(ctx context.Context, address netip.AddrPort, handler http.Handler) error {
	var listen net.ListenConfig
	listener, err := listen.Listen(ctx, "tcp", address.String())
	if err != nil {
		return wrapError("listen", kindSettings, err)
	}
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: headerReadTimeout, ReadTimeout: operatorReadTimeout, WriteTimeout: operatorWriteTimeout,
	}
	shutdownErr := make(chan error, 1)
	stop := context.AfterFunc(ctx, func() {
		shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()
		shutdownErr <- server.Shutdown(shutdownCtx)
	})
	defer stop()
	err = server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return <-shutdownErr
	}
	return wrapError("serve", kindSettings, err)
}
