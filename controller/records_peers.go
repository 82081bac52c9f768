package main

import (
	"context"
	"sync"

	"sequoiaspread.example/sequoia/recorder"
	"sequoiaspread.example/sequoia/recordserver"
)

// peerQueueLength is the capacity of the queue to one member; the recorder retransmits dropped messages.
const peerQueueLength = 64

// recordPeers sends messages to the other members. Each member has its own ordered queue, so that a slow member does
// not delay the others.
type recordPeers struct {
	ctx     context.Context
	config  recordsConfig
	queues  map[string]chan recorder.PeerMessage
	workers sync.WaitGroup
}

func newRecordPeers(ctx context.Context, config recordsConfig) *recordPeers {
	return &recordPeers{ctx: ctx, config: config, queues: map[string]chan recorder.PeerMessage{}}
}

// send queues a message for a member and drops it if the queue is full. Only the loop goroutine may call it.
func (p *recordPeers) send(member string, message recorder.PeerMessage) {
	queue, ok := p.queues[member]
	if !ok {
		queue = make(chan recorder.PeerMessage, peerQueueLength)
		p.queues[member] = queue
		p.workers.Go(func() { p.sendLoop(member, queue) })
	}
	select {
	case queue <- message:
	default:
	}
}

func (p *recordPeers) sendLoop(member string, queue <-chan recorder.PeerMessage) {
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
	p.workers.Wait()
}
