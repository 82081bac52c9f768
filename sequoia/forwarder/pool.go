package forwarder

import (
	"net/netip"
	"sync"
	"time"
)

// pool holds the idle connections of each address, the most recently used one last.
type pool struct {
	mu   sync.Mutex
	idle map[netip.AddrPort][]*connection
}

func newPool() *pool {
	return &pool{idle: map[netip.AddrPort][]*connection{}}
}

// get returns a usable connection that was last used after usedSince, or nil.
func (p *pool) get(address netip.AddrPort, usedSince time.Time) *connection {
	for {
		c := p.pop(address)
		if c == nil {
			return nil
		}
		if time.Now().Before(c.reuseUntil) && c.lastUsed.After(usedSince) && c.reusable() {
			return c
		}
		_ = c.Close()
	}
}

func (p *pool) pop(address netip.AddrPort) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c
}

func (p *pool) put(address netip.AddrPort, c *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[address] = append(p.idle[address], c)
}

// closeExpired closes the idle connections that the upstream is about to close.
func (p *pool) closeExpired(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.reuseUntil) {
				kept = append(kept, c)
				continue
			}
			_ = c.Close()
		}
		p.idle[address] = kept
		if len(kept) == 0 {
			delete(p.idle, address)
		}
	}
}

// closeIdle closes the idle connections to an address.
func (p *pool) closeIdle(address netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[address] {
		_ = c.Close()
	}
	delete(p.idle, address)
}
