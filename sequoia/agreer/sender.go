package agreer

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"sequoiaspread.example/sequoia/messenger"
	"sequoiaspread.example/sequoia/replicator"
)

const (
	// sendQueueSize bounds the messages queued for a slow peer; the replicator resends what is dropped.
	sendQueueSize = 256
	// maxSendBatch bounds the messages of one call.
	maxSendBatch = 32
	// maxConcurrentCalls is the number of concurrent calls to a peer, so that messages do not wait for a round trip
	// between regions.
	maxConcurrentCalls = 4
	// sendTimeout bounds one call; it covers a snapshot of the maximum size over a shared link between regions.
	sendTimeout = 5 * time.Second
)

// sender sends consensus messages to peers without blocking the driver.
type sender struct {
	localAddress netip.AddrPort
	pool         *messenger.Pool
	logger       logrus.FieldLogger
	ctx          context.Context

	mu      sync.Mutex
	queues  map[netip.AddrPort]chan replicator.PeerMessage
	workers sync.WaitGroup
}

func newSender(ctx context.Context, localAddress netip.AddrPort, pool *messenger.Pool, logger logrus.FieldLogger) *sender {
	return &sender{localAddress: localAddress, pool: pool, logger: logger, ctx: ctx, queues: map[netip.AddrPort]chan replicator.PeerMessage{}}
}

// send queues a message, or drops it when the queue of the peer is full.
func (s *sender) send(address netip.AddrPort, message replicator.PeerMessage) {
	select {
	case s.queue(address) <- message:
	default:
		s.logger.WithField("peer", address.String()).Debug("message to a slow peer dropped: send queue is full")
	}
}

func (s *sender) queue(address netip.AddrPort) chan replicator.PeerMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	queue, ok := s.queues[address]
	if !ok {
		queue = make(chan replicator.PeerMessage, sendQueueSize)
		s.queues[address] = queue
		for range maxConcurrentCalls {
			s.workers.Go(func() { s.sendLoop(address, queue) })
		}
	}
	return queue
}

func (s *sender) sendLoop(address netip.AddrPort, queue chan replicator.PeerMessage) {
	for {
		select {
		case <-s.ctx.Done():
			return
		case message := <-queue:
			s.sendBatch(address, collectBatch(message, queue))
		}
	}
}

func collectBatch(first replicator.PeerMessage, queue chan replicator.PeerMessage) []replicator.PeerMessage {
	batch := []replicator.PeerMessage{first}
	for len(batch) < maxSendBatch {
		if _, large := batch[len(batch)-1].(replicator.InstallSnapshot); large {
			return batch
		}
		select {
		case message := <-queue:
			batch = append(batch, message)
		default:
			return batch
		}
	}
	return batch
}

func (s *sender) sendBatch(address netip.AddrPort, batch []replicator.PeerMessage) {
	params := replicateParams{Address: s.localAddress}
	for _, message := range batch {
		encoded, err := encodeMessage(message)
		if err != nil {
			s.logger.WithError(err).Error("consensus message cannot be encoded")
			return
		}
		params.Messages = append(params.Messages, encoded)
	}
	ctx, cancel := context.WithTimeout(s.ctx, sendTimeout)
	defer cancel()
	if err := s.pool.Client(address).Call(ctx, methodReplicate, params, nil); err != nil {
		s.logger.WithField("peer", address.String()).WithError(err).Debug("consensus messages not delivered")
	}
}

// wait waits until all senders have stopped after the end of the context.
func (s *sender) wait() {
	s.workers.Wait()
}
