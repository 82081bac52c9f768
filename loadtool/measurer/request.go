package measurer

import (
	"time"

	"sequoiaspread.example/sequoia/router"
)

// request is one request of a modelled caller.
type request struct {
	id           string
	number       int
	organisation int
	rank         int
	priority     int // sent to the engine; 0 in the baselines
	prompt       int
	output       int
	fresh        int // prompt tokens that no earlier request had
	prefix       []router.Digest
	allowed      []string
	conversation *conversation // of a chat
	turn         int
	seed         uint64 // of the document of a long read
	origin       int    // availability zone of the caller
	entry        int    // availability zone of the entry VM
	gateway      *gateway
	holder       *gateway // gateway that sent it to the runner
	hops         []router.Hop
	runner       *runner
	arrived      time.Duration
	giveUp       time.Duration
	pathDelay    time.Duration // one way, from the entry VM to the runner
	attempts     int

	hit       int
	left      int // prompt tokens still to prefill
	chunk     int // of these, in the current step
	made      int
	firstAt   time.Duration
	started   bool
	refused   bool
	abandoned bool
	crossed   bool // sent to another region
}

// nominal is the engine time of the request when the cache holds all that earlier requests brought.
func (q *request) nominal(batchLimit int) time.Duration {
	return work(q.fresh, q.output, batchLimit)
}
