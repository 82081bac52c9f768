package main

import (
	"context"
	"sync"

	"sequoiaspread.example/sequoia/recorder"
	"sequoiaspread.example/sequoia/recordserver"
)

// peerQueue bounds the messages that wait for one member; the recorder sends again what is dropped.
const peerQueue = 64

// recordPeers sends messages to each other member in order, so that a slow member delays no other.
type recordPeers struct {
	ctx    context.Context
	config recordsConfig
	queues map[string]chan recorder.PeerMessage
	group  sync.WaitGroup
}

func newRecordPeers(ctx context.Context, config recordsConfig) *recordPeers {
	return &recordPeers{ctx: ctx, config: config, queues: map[string]chan recorder.PeerMessage{}}
}

// send is called by the loop only.
func (p *recordPeers) send(member string, message recorder.PeerMessage) {
	queue, ok := p.queues[member]
	if !ok {
		queue = make(chan recorder.PeerMessage, peerQueue)
		p.queues[member] = queue
		p.group.Go(func() { p.drain(member, queue) })
	}
	select {
	case queue <- message:
	default:
	}
}

func (p *recordPeers) drain(member string, queue <-chan recorder.PeerMessage) {
	for {
		select {
		case <-p.ctx.Done():
			return
		case message := <-queue:
			p.deliver(member, message)
		}
	}
}

func (p *recordPeers) deliver(member string, message recorder.PeerMessage) {
	address, ok := p.config.Host.AddressOf(member)
	if !ok {
		return
	}
	if err := recordserver.SendPeer(p.ctx, p.config.Pool, address, message); err != nil {
		p.config.Logger.WithField("peer", member).WithError(err).Debug("record message was not delivered")
	}
}

func (p *recordPeers) wait() {
	p.group.Wait()
}
