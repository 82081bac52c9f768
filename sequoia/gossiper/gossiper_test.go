package gossiper

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"sequoiaspread.example/sequoia/dispatcher"
)

func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	socket, err := net.ListenPacket("udp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = socket.Close() }()
	return netip.MustParseAddrPort(socket.LocalAddr().String())
}

// Guards against a VM that does not hear what its neighbours have at the upstreams, and against garbage ending it.
func TestStatementsArrive(t *testing.T) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	heard := make(chan map[dispatcher.UpstreamKey]dispatcher.Sent, 100)
	start := func(name string, own map[dispatcher.UpstreamKey]dispatcher.Sent) (*Gossiper, netip.AddrPort) {
		address := freeAddress(t)
		g := New(Config{
			Name: name, Address: address, Logger: logger,
			Own:  func() map[dispatcher.UpstreamKey]dispatcher.Sent { return own },
			Hear: func(_ string, sent map[dispatcher.UpstreamKey]dispatcher.Sent) { heard <- sent },
		})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- g.Run(ctx) }()
		t.Cleanup(func() {
			cancel()
			assert.NilError(t, <-done)
		})
		return g, address
	}
	a, _ := start("a", map[dispatcher.UpstreamKey]dispatcher.Sent{dispatcher.UpstreamKeyOf("u"): {Requests: 3}})
	_, address := start("b", nil)
	a.SetPeers(nil, []netip.AddrPort{address})
	conn, err := net.Dial("udp4", address.String())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = conn.Write([]byte("garbage"))
	assert.NilError(t, err)
	select {
	case sent := <-heard:
		assert.Equal(t, sent[dispatcher.UpstreamKeyOf("u")].Requests, 3)
	case <-time.After(5 * time.Second):
		t.Fatal("nothing was heard")
	}
}

// Guards against statements that are so old that many VMs send to the same upstream, and against a number of datagrams
// that grows with the square of the VMs of an availability zone.
func TestNeighboursHearOften(t *testing.T) {
	assert.Equal(t, nearRounds(0), 1)
	assert.Equal(t, nearRounds(13), 1)
	assert.Equal(t, nearRounds(33), 3)
	near, far := countStatements(t, time.Second)
	assert.Assert(t, near >= 8, "%d statements in a second", near)
	assert.Assert(t, far <= 2, "%d statements in a second to another availability zone", far)
}

// countStatements returns what a neighbour and a VM of another availability zone hear of a VM whose load changes.
func countStatements(t *testing.T, span time.Duration) (near, far int) {
	t.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	requests := 0
	g := New(Config{
		Name: "a", Address: freeAddress(t), Logger: logger,
		Own: func() map[dispatcher.UpstreamKey]dispatcher.Sent {
			requests++
			return map[dispatcher.UpstreamKey]dispatcher.Sent{1: {Requests: requests}}
		},
	})
	counts := []*atomic.Int64{{}, {}}
	var addresses []netip.AddrPort
	for _, count := range counts {
		socket, err := net.ListenPacket("udp4", "127.0.0.1:0")
		assert.NilError(t, err)
		t.Cleanup(func() { _ = socket.Close() })
		addresses = append(addresses, netip.MustParseAddrPort(socket.LocalAddr().String()))
		go func() {
			buffer := make([]byte, maxDatagram)
			for {
				if _, _, err := socket.ReadFrom(buffer); err != nil {
					return
				}
				count.Add(1)
			}
		}()
	}
	g.SetPeers(addresses[:1], addresses[1:])
	ctx, cancel := context.WithTimeout(t.Context(), span)
	defer cancel()
	assert.NilError(t, g.Run(ctx))
	return int(counts[0].Load()), int(counts[1].Load())
}

// FuzzReceive guards against a datagram that panics a VM.
func FuzzReceive(f *testing.F) {
	data, err := encode(statement{Name: "a", Sent: map[dispatcher.UpstreamKey]dispatcher.Sent{1: {Requests: 2}}})
	assert.NilError(f, err)
	f.Add(data)
	f.Fuzz(func(_ *testing.T, data []byte) {
		var s statement
		_ = unmarshal(data, &s)
	})
}

// Guards against statements without news filling the links, and against silence that looks like the loss of the VM.
func TestRepeatLeavesOutOldNews(t *testing.T) {
	var r repeat
	sent := 0
	for range 3 * quietRounds {
		if r.due([]byte("same"), quietRounds) {
			sent++
		}
	}
	assert.Equal(t, sent, 3)
	assert.Assert(t, r.due([]byte("other"), quietRounds))
}
