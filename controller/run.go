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
	// handOverTimeout bounds how long a stopping leader waits for its successor.
	handOverTimeout   = 3 * time.Second
	handOverInterval  = 50 * time.Millisecond
	shutdownTimeout   = 5 * time.Second
	headerReadTimeout = 5 * time.Second
	// defaultOperatorPort is used on the loopback address when the settings name no operator address.
	defaultOperatorPort = 7091
)

// controller is the assembled program.
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

// newController opens the data folder and assembles the parts.
func newController(settings *loader.Settings, logger logrus.FieldLogger) (*controller, error) {
	key, err := readOperatorKey(settings.OperatorKeyFile)
	if err != nil {
		return nil, err
	}
	opened, err := openStore(settings.DataFolder)
	if err != nil {
		return nil, err
	}
	c, err := assemble(settings, logger, opened)
	if err != nil {
		return nil, errors.Join(err, opened.Close())
	}
	c.closeStore = opened.Close
	c.operator = &operatorAPI{node: c.node, keyDigest: key}
	return c, nil
}

// storeFile is the file of the agreement in the data folder.
const storeFile = "controller.db"

func openStore(folder string) (*storer.Store, error) {
	opened, err := storer.Open(storer.Config{Path: filepath.Join(folder, storeFile)})
	if err != nil {
		return nil, wrapError("open data folder", kindDisk, err)
	}
	return opened, nil
}

// assemble builds a controller on a store.
func assemble(settings *loader.Settings, logger logrus.FieldLogger, store agreer.Store) (*controller, error) {
	disk := agreer.NewDisk(store)
	id, saved, err := loadMember(disk, settings.VM)
	if err != nil {
		return nil, err
	}
	tlsConfig, err := settings.TLS.Config()
	if err != nil {
		return nil, wrapError("load TLS files", kindSettings, err)
	}
	pool := messenger.NewPool(messenger.PoolConfig{Overrides: settings.Overrides(), Logger: logger, TLS: tlsConfig})
	n := newNode(id, settings, logger, pool)
	agreed := &machine{node: n, disk: disk}
	n.agreement, err = agreer.New(agreer.Config[promoter.Command, promoter.Outcome]{
		ID: id, Address: settings.ControllerAddress, Disk: disk, DurableState: saved, StateMachine: agreed, Pool: pool,
		Logger: n.logger, ResolveAddress: n.documentAddress,
	})
	if err != nil {
		return nil, wrapError("load agreement", kindAgreement, err)
	}
	if err := n.recover(agreed); err != nil {
		n.agreement.Close()
		return nil, err
	}
	c := &controller{settings: settings, logger: n.logger, node: n, pool: pool, disk: disk}
	c.extensions = newExtensions(n)
	c.handler = c.methods()
	return c, nil
}

// recover puts the document in force that was so before the restart.
func (n *node) recover(agreed *machine) error {
	document, err := agreed.enforced()
	if err != nil {
		return err
	}
	text, version := n.agreedDocument()
	if version > document.Version {
		document = enforcer.Document{Version: version, Text: text}
	}
	if document.Version == 0 {
		return nil
	}
	return n.enforce(document)
}

// run serves until the context ends. A planned stop hands leadership over, then ends the operators' interface, the
// calls of other processes, and last the agreement that both need.
func (c *controller) run(ctx context.Context) error {
	defer c.close()
	work, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	group, groupContext := errgroup.WithContext(work)
	operators, calls := newStage(groupContext, group), newStage(groupContext, group)
	group.Go(func() error { return c.node.agreement.Run(groupContext) })
	group.Go(func() error { return c.node.keepMembers(groupContext) })
	for _, each := range c.extensions {
		group.Go(func() error { return each.run(groupContext) })
	}
	calls.start(c.server().Run)
	operators.start(func(ctx context.Context) error { return c.serveHTTP(ctx, c.operatorAddress(), c.operator.routes()) })
	operators.start(func(ctx context.Context) error {
		return c.serveHTTP(ctx, c.settings.AdminAddress, c.node.adminRoutes())
	})
	select {
	case <-ctx.Done():
		c.leaveGroups(groupContext)
		c.handOver(groupContext)
	case <-groupContext.Done():
	}
	operators.stop()
	calls.stop()
	stopWork()
	err := group.Wait()
	if err != nil {
		c.logger.WithError(err).Error("controller stops after a failure")
	}
	return err
}

func (c *controller) close() {
	c.node.agreement.Close()
	_ = c.pool.Close()
	if c.closeStore == nil {
		return
	}
	if err := c.closeStore(); err != nil {
		c.logger.WithError(err).Warn("store could not be closed")
	}
}

func (c *controller) methods() *methods {
	table := newMethods()
	for name, answer := range configserver.NewHandler(c.node).Methods() {
		table.register(name, answer)
	}
	for name, answer := range c.node.agreement.Methods(c.node.admit) {
		table.register(name, answer)
	}
	for _, each := range c.extensions {
		each.register(table)
	}
	return table
}

func (c *controller) server() *messenger.Server {
	// The TLS files were read once when the controller was assembled, so a failure here cannot occur again.
	tlsConfig, _ := c.settings.TLS.Config()
	return messenger.NewServer(messenger.ServerConfig{
		Address: c.settings.ControllerAddress, Handler: c.handler, Logger: c.logger, TLS: tlsConfig,
	})
}

// handOver gives leadership to another voter and waits until that one leads.
func (c *controller) handOver(ctx context.Context) {
	if !c.node.IsLeader() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	ticker := time.NewTicker(handOverInterval)
	defer ticker.Stop()
	for c.node.agreement.Status().Leader == "" || c.node.IsLeader() {
		if err := c.node.agreement.TransferLeadership(ctx); err != nil {
			return
		}
		select {
		case <-ctx.Done():
			c.logger.Warn("no other voter took over leadership in time")
			return
		case <-ticker.C:
		}
	}
	c.logger.Info("leadership was handed over")
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
		Handler: handler, ReadHeaderTimeout: headerReadTimeout, ReadTimeout: operatorReadLimit, WriteTimeout: operatorWriteLimit,
	}
	stopped := make(chan error, 1)
	stop := context.AfterFunc(ctx, func() {
		bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()
		stopped <- server.Shutdown(bounded)
	})
	defer stop()
	err = server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return <-stopped
	}
	return wrapError("serve", kindSettings, err)
}
