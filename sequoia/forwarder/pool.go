package forwarder

import (
	"net/netip"
	"slices"
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

// get returns a usable connection that was last used after usedSince and has not carried the request with an ID, or nil.
// If the peer has closed a connection before its time, closedUsedAt is when that was used last.
func (p *pool) get(address netip.AddrPort, usedSince time.Time, id string) (usable *connection, closedUsedAt time.Time) {
	for {
		c := p.pop(address, id)
		if c == nil {
			return nil, closedUsedAt
		}
		if time.Now().Before(c.reuseUntil) {
			state := c.idleState()
			if state == idleOpen && c.lastUsed.After(usedSince) {
				return c, closedUsedAt
			}
			if state == idleClosed {
				closedUsedAt = c.lastUsed
			}
		}
		_ = c.Close()
	}
}

// pop removes the connection that was used last of those that have not carried the request with an ID.
func (p *pool) pop(address netip.AddrPort, id string) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	for i, c := range slices.Backward(list) {
		if !c.hasCarried(id) {
			p.idle[address] = slices.Delete(list, i, i+1)
			return c
		}
	}
	return nil
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
