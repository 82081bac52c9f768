package main

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
)

var errSealed = errors.New("call was abandoned: connection is closed for writes")

// dialer opens connections to an IP address and port.
type dialer func(ctx context.Context, network, address string) (net.Conn, error)

// newDialer returns a dialer that applies the address overrides of the settings file.
func newDialer(overrides map[netip.AddrPort]netip.AddrPort) dialer {
	plain := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: inactivityTimeout, Interval: inactivityTimeout, Count: 3}}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if parsed, err := netip.ParseAddrPort(address); err == nil {
			if override, ok := overrides[parsed]; ok {
				address = override.String()
			}
		}
		conn, err := plain.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &trackedConn{Conn: conn}, nil
	}
}

// trackedConn is a connection that tracks whether a byte of the current request was written.
type trackedConn struct {
	net.Conn

	mu      sync.Mutex
	written bool
	sealed  bool
}

// Write writes to the connection unless it is sealed. The flag is set before the write, so that no byte is missed.
func (c *trackedConn) Write(buffer []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.written = true
	c.mu.Unlock()
	return c.Conn.Write(buffer)
}

// beginRequest marks the start of a new request on the connection.
func (c *trackedConn) beginRequest() {
	c.mu.Lock()
	c.written = false
	c.mu.Unlock()
}

// seal prevents further writes and reports whether a byte of the current request was written.
func (c *trackedConn) seal() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.written
}
