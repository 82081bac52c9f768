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
	// sendQueue bounds the messages that wait for a slow peer; the agreement sends again what is dropped.
	sendQueue = 256
	// sendBatch bounds the messages of one call.
	sendBatch = 32
	// sendsInFlight lets messages follow each other without waiting a round trip between regions.
	sendsInFlight = 4
	// sendTimeout bounds one call; it covers a snapshot at its largest over a shared link between regions.
	sendTimeout = 5 * time.Second
)

// sender sends agreement messages to peers without delaying the agreement.
type sender struct {
	own    netip.AddrPort
	pool   *messenger.Pool
	logger logrus.FieldLogger
	ctx    context.Context

	mu     sync.Mutex
	queues map[netip.AddrPort]chan replicator.PeerMessage
	work   sync.WaitGroup
}

func newSender(ctx context.Context, own netip.AddrPort, pool *messenger.Pool, logger logrus.FieldLogger) *sender {
	return &sender{own: own, pool: pool, logger: logger, ctx: ctx, queues: map[netip.AddrPort]chan replicator.PeerMessage{}}
}

// send queues a message, or drops it when the peer does not keep up.
func (s *sender) send(address netip.AddrPort, message replicator.PeerMessage) {
	select {
	case s.queue(address) <- message:
	default:
		s.logger.WithField("peer", address.String()).Debug("message to a slow peer dropped")
	}
}

func (s *sender) queue(address netip.AddrPort) chan replicator.PeerMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	queue, ok := s.queues[address]
	if !ok {
		queue = make(chan replicator.PeerMessage, sendQueue)
		s.queues[address] = queue
		for range sendsInFlight {
			s.work.Go(func() { s.drain(address, queue) })
		}
	}
	return queue
}

func (s *sender) drain(address netip.AddrPort, queue chan replicator.PeerMessage) {
	for {
		select {
		case <-s.ctx.Done():
			return
		case message := <-queue:
			s.call(address, takeBatch(message, queue))
		}
	}
}

func takeBatch(first replicator.PeerMessage, queue chan replicator.PeerMessage) []replicator.PeerMessage {
	batch := []replicator.PeerMessage{first}
	for len(batch) < sendBatch {
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

func (s *sender) call(address netip.AddrPort, batch []replicator.PeerMessage) {
	params := replicateParams{Address: s.own}
	for _, message := range batch {
		encoded, err := encodeMessage(message)
		if err != nil {
			s.logger.WithError(err).Error("agreement message cannot be encoded")
			return
		}
		params.Messages = append(params.Messages, encoded)
	}
	ctx, cancel := context.WithTimeout(s.ctx, sendTimeout)
	defer cancel()
	if err := s.pool.Client(address).Call(ctx, methodReplicate, params, nil); err != nil {
		s.logger.WithField("peer", address.String()).WithError(err).Debug("agreement messages not delivered")
	}
}

// wait returns once all sends have ended after the end of the context.
func (s *sender) wait() {
	s.work.Wait()
}
