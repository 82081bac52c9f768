package publisher

import (
	"context"
	"testing"

	"github.com/sirupsen/logrus"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
)

type sample struct {
	Number int `json:"number"`
}

// Guards against events that arrive out of order or are lost although the buffer has room, and against goroutine leaks.
func TestEventsArriveInOrder(t *testing.T) {
	defer goleak.VerifyNone(t)
	p := New(Config{Logger: logrus.New()})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	events, err := Subscribe[sample](ctx, p, TopicRequest)
	assert.NilError(t, err)
	const count = 1000
	for i := range count {
		assert.NilError(t, Publish(p, TopicRequest, sample{Number: i}))
	}
	for i := range count {
		assert.Equal(t, (<-events).Number, i)
	}
	assert.NilError(t, p.Close())
}
