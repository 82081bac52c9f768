package publisher

import (
	"context"
	"encoding/json"
	"fmt"
	"sync/atomic"

	"github.com/ThreeDotsLabs/watermill"
	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/ThreeDotsLabs/watermill/pubsub/gochannel"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
)

// Topics of the events.
const (
	TopicRequest       = "request"
	TopicMembership    = "membership"
	TopicConfiguration = "configuration"
	TopicAudit         = "audit"
)

// bufferSize is the number of events buffered for a slow subscriber. Events beyond it are dropped and counted, because
// no request may wait for a log or a report.
const bufferSize = 4096

// Kind classifies an error of this package.
type Kind string

// Kinds of errors.
const (
	KindEncode    Kind = "encode"
	KindPublish   Kind = "publish"
	KindSubscribe Kind = "subscribe"
)

// Error is the error of this package: the operation, the kind and the cause.
type Error struct {
	Op    string
	Kind  Kind
	cause error
}

// Error describes the operation, the kind and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.cause
}

// Config holds the settings of a Publisher.
type Config struct {
	Logger logrus.FieldLogger
}

// Publisher is the event bus of one process.
type Publisher struct {
	pubSub  *gochannel.GoChannel
	logger  logrus.FieldLogger
	dropped atomic.Uint64
}

// New returns a publisher without subscribers. Publishing waits for the acknowledgement, which forward gives at once;
// without it the channel would deliver each event on its own goroutine and out of order.
func New(config Config) *Publisher {
	channel := gochannel.NewGoChannel(gochannel.Config{BlockPublishUntilSubscriberAck: true}, watermill.NopLogger{})
	return &Publisher{pubSub: channel, logger: config.Logger}
}

// Publish sends an event to the subscribers of a topic; without subscribers the event is dropped.
func Publish[T any](p *Publisher, topic string, event T) error {
	payload, err := json.Marshal(event)
	if err != nil {
		return &Error{Op: "publish " + topic, Kind: KindEncode, cause: eris.Wrap(err, "encode event")}
	}
	if err := p.pubSub.Publish(topic, message.NewMessage(watermill.NewULID(), payload)); err != nil {
		return &Error{Op: "publish " + topic, Kind: KindPublish, cause: eris.Wrap(err, "publish")}
	}
	return nil
}

// Subscribe returns the events of a topic from now on; the channel is closed when the context ends or the publisher is
// closed.
func Subscribe[T any](ctx context.Context, p *Publisher, topic string) (<-chan T, error) {
	messages, err := p.pubSub.Subscribe(ctx, topic)
	if err != nil {
		return nil, &Error{Op: "subscribe " + topic, Kind: KindSubscribe, cause: eris.Wrap(err, "subscribe")}
	}
	events := make(chan T, bufferSize)
	go forward(p, topic, messages, events)
	return events, nil
}

// Dropped returns the number of events dropped so far because a buffer was full.
func (p *Publisher) Dropped() uint64 {
	return p.dropped.Load()
}

func forward[T any](p *Publisher, topic string, messages <-chan *message.Message, events chan<- T) {
	defer close(events)
	for received := range messages {
		var event T
		err := json.Unmarshal(received.Payload, &event)
		received.Ack()
		if err != nil {
			p.logger.WithField("topic", topic).WithError(err).Error("event dropped: it cannot be decoded")
			continue
		}
		select {
		case events <- event:
		default:
			p.dropped.Add(1)
		}
	}
}

// Close ends all subscriptions.
func (p *Publisher) Close() error {
	return p.pubSub.Close()
}
