package main

import (
	"context"
	"encoding/json"
	"net/netip"
	"sync"

	"sequoiaspread.example/sequoia/configserver"
	"sequoiaspread.example/sequoia/enforcer"
	"sequoiaspread.example/sequoia/messenger"
	"sequoiaspread.example/sequoia/parser"
	"sequoiaspread.example/sequoia/publisher"
)

// configuration maintains the current document. It polls the controllers, and the gateways that have a newer version.
type configuration struct {
	gateway *gateway
	client  *configserver.Client

	mu            sync.Mutex
	enforcer      *enforcer.Enforcer
	unqueried     []netip.AddrPort
	viewsRevision uint64
	fetching      bool
}

// wireConfigurationQuery requests the document from a gateway if it is newer than the given version.
type wireConfigurationQuery struct {
	HaveVersion uint64 `json:"have-version"`
}

type wireConfiguration struct {
	Version uint64 `json:"version"`
	Text    []byte `json:"text,omitempty"`
}

// configurationEvent reports that this process applied a version.
type configurationEvent struct {
	Version uint64 `json:"version"`
	Source  string `json:"source"`
}

func newConfiguration(g *gateway) *configuration {
	sources := append(append([]netip.AddrPort(nil), g.settings.Controllers...), g.settings.Peers...)
	names := make([]string, 0, len(sources))
	for _, source := range sources {
		names = append(names, source.String())
	}
	return &configuration{
		gateway:   g,
		client:    configserver.NewClient(g.pool, g.settings.Controllers),
		enforcer:  enforcer.New(enforcer.Config{Sources: names}),
		unqueried: sources,
	}
}

// poll queries the controllers. The first poll queries each source individually, because only one of them may know the
// latest version.
func (c *configuration) poll(ctx context.Context) {
	c.queryRemaining(ctx)
	limited, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	update, err := c.client.Fetch(limited, c.newPoll())
	if err != nil {
		c.gateway.log.WithError(err).Debug("polling the controllers failed")
		return
	}
	c.applyUpdate(update)
}

func (c *configuration) newPoll() configserver.Poll {
	c.mu.Lock()
	defer c.mu.Unlock()
	settings := c.gateway.settings
	return configserver.Poll{VM: settings.VM, Zone: settings.Zone, Have: c.enforcer.Current().Version, HaveViews: c.viewsRevision}
}

func (c *configuration) applyUpdate(update configserver.Update) {
	c.mu.Lock()
	if update.Views != nil {
		c.viewsRevision = update.ViewsRevision
	}
	c.mu.Unlock()
	c.gateway.records.setViews(update.Views)
	if update.Newer {
		c.apply("controller", update.Version, update.Text)
	}
}

// queryRemaining queries each source that has not been queried since the start.
func (c *configuration) queryRemaining(ctx context.Context) {
	var queries sync.WaitGroup
	for _, source := range c.takeUnqueried() {
		queries.Go(func() {
			responded := c.querySource(ctx, source)
			c.mu.Lock()
			defer c.mu.Unlock()
			c.enforcer.RecordResponse(source.String(), responded)
		})
	}
	queries.Wait()
}

func (c *configuration) takeUnqueried() []netip.AddrPort {
	c.mu.Lock()
	defer c.mu.Unlock()
	remaining := c.unqueried
	c.unqueried = nil
	return remaining
}

func (c *configuration) querySource(ctx context.Context, source netip.AddrPort) bool {
	for _, controller := range c.gateway.settings.Controllers {
		if controller != source {
			continue
		}
		update, err := c.client.FetchFrom(ctx, source, c.newPoll())
		if err == nil {
			c.applyUpdate(update)
		}
		return err == nil
	}
	return c.queryPeer(ctx, source)
}

// queryPeer queries another gateway and reports whether it responded.
func (c *configuration) queryPeer(ctx context.Context, peer netip.AddrPort) bool {
	limited, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	var found wireConfiguration
	err := c.gateway.pool.Client(peer).Call(limited, methodConfiguration, wireConfigurationQuery{HaveVersion: c.newPoll().Have}, &found)
	if err != nil {
		return false
	}
	if len(found.Text) > 0 {
		c.apply("gateway", found.Version, found.Text)
	}
	return true
}

// fetchFromPeer queries a gateway with a newer version, unless such a query is already running.
func (c *configuration) fetchFromPeer(peer netip.AddrPort) {
	c.mu.Lock()
	busy := c.fetching
	c.fetching = true
	c.mu.Unlock()
	if busy {
		return
	}
	c.gateway.background.Go(func() {
		c.queryPeer(context.Background(), peer)
		c.mu.Lock()
		c.fetching = false
		c.mu.Unlock()
	})
}

// apply enforces a document if its version is higher than the current one.
func (c *configuration) apply(source string, version uint64, text []byte) {
	doc, err := parser.Parse("configuration", text)
	if err != nil {
		c.gateway.log.WithError(err).WithField("version", version).Error("ignoring an invalid configuration document")
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	accepted, err := c.enforcer.Offer(enforcer.Document{Version: version, Text: text})
	if err != nil {
		c.gateway.log.WithError(err).Error("configuration document was not applied")
	}
	if !accepted {
		return
	}
	c.gateway.enforce(newEnvironment(version, doc))
	_ = publisher.Publish(c.gateway.events, publisher.TopicConfiguration, configurationEvent{Version: version, Source: source})
}

// ready reports whether all sources were queried, at least one responded, and a document is enforced.
func (c *configuration) ready() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.enforcer.Ready()
}

// handleQuery returns the document to another gateway that has an older one.
func (c *configuration) handleQuery(params json.RawMessage) (any, error) {
	query, err := messenger.Decode[wireConfigurationQuery](params)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	current := c.enforcer.Current()
	if current.Version <= query.HaveVersion {
		return wireConfiguration{Version: current.Version}, nil
	}
	return wireConfiguration{Version: current.Version, Text: current.Text}, nil
}

// enforce replaces the current environment and checks the requests in progress against the new one.
func (g *gateway) enforce(env *environment) {
	g.environment.Store(env)
	g.scheduler.configure(env)
	g.records.setAddresses(env.doc)
	g.recheckActiveRequests(env)
	g.refreshDirectory()
}
