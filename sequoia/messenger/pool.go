package messenger

import (
	"crypto/tls"
	"net/netip"
	"sync"

	"github.com/sirupsen/logrus"
)

// PoolConfig holds the settings that all clients of a Pool share.
type PoolConfig struct {
	Overrides map[netip.AddrPort]netip.AddrPort
	Logger    logrus.FieldLogger
	TLS       *tls.Config
}

// Pool keeps one client for each peer address.
type Pool struct {
	config  PoolConfig
	traffic traffic
	mu      sync.Mutex
	clients map[netip.AddrPort]*Client
}

// NewPool returns an empty pool.
func NewPool(config PoolConfig) *Pool {
	return &Pool{config: config, clients: map[netip.AddrPort]*Client{}}
}

// Client returns the client for an address, and creates it if needed.
func (p *Pool) Client(address netip.AddrPort) *Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	client, ok := p.clients[address]
	if !ok {
		client = p.NewClient(address)
		p.clients[address] = client
	}
	return client
}

// NewClient returns a client with a connection of its own, which the caller closes.
func (p *Pool) NewClient(address netip.AddrPort) *Client {
	client := NewClient(ClientConfig{Address: address, Overrides: p.config.Overrides, Logger: p.config.Logger, TLS: p.config.TLS})
	client.traffic = &p.traffic
	return client
}

// Traffic returns the number of bytes that all clients sent and received so far.
func (p *Pool) Traffic() Traffic {
	return p.traffic.read()
}

// Close closes all clients.
func (p *Pool) Close() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, client := range p.clients {
		_ = client.Close()
	}
	return nil
}
