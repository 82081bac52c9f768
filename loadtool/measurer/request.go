package measurer

import (
	"time"

	"sequoiaspread.example/sequoia/router"
)

// request is one request of a simulated caller.
type request struct {
	id           string
	number       int
	organisation int
	rank         int
	priority     int // scheduling priority at the engine; 0 in the baselines
	promptTokens int
	outputTokens int
	newTokens    int // prompt tokens that are not in the prefix of an earlier request
	prefix       []router.Digest
	allowed      []string
	conversation *conversation // nil for a long read
	turn         int
	documentSeed uint64 // identifies the document of a long read
	originZone   int    // availability zone of the caller
	entryZone    int    // availability zone of the entry VM
	gateway      *gateway
	sender       *gateway // gateway that sent the request to the runner
	hops         []router.Hop
	runner       *runner
	arrived      time.Duration
	deadline     time.Duration
	pathDelay    time.Duration // sum of the one-way delays from the caller to the runner, over all attempts
	attempts     int

	hitTokens        int
	prefillRemaining int // prompt tokens not yet prefilled
	prefillChunk     int // prompt tokens prefilled in the current step
	generatedTokens  int
	firstTokenAt     time.Duration
	started          bool
	refused          bool
	timedOut         bool
	crossRegion      bool // sent to another region than that of the entry VM
}

// warmCacheWork returns the engine time of the request when the cache holds the prefixes of all earlier requests.
func (q *request) warmCacheWork(batchLimit int) time.Duration {
	return engineTime(q.newTokens, q.outputTokens, batchLimit)
}
