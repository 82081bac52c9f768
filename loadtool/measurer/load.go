package measurer

import (
	"math"
	"strconv"
	"time"

	"sequoiaspread.example/sequoia/router"
)

// Shapes of the two kinds of requests.
const (
	systemBlocks       = 8 // blocks of the prompt that all chats of an organisation share
	conversationBlocks = 6 // most blocks of earlier turns
	chatTurns          = 5 // mean turns of a conversation
	chatNewTokens      = 64
	chatOutput         = 110
	readTokens         = 5000
	readOutput         = 250
	readAgain          = 0.3 // share of long reads of a document that was read before
	knownReads         = 50  // documents that are read again, for each availability zone
	knownChats         = 60  // conversations in progress, for each organisation and availability zone
	seriesSpread       = 0.4 // spread of lengths around their mean, both ways
)

// load makes the arrivals of all availability zones.
type load struct {
	world    *world
	rate     func(now time.Duration, zone, rank int) float64 // requests per second
	mix      []float64                                       // part of the arrivals of each organisation
	redirect func(now time.Duration, zone int) int           // entry availability zone that callers use
	chats    map[[2]int][]*conversation
	reads    map[int][]uint64
}

// conversation is a chat in progress.
type conversation struct {
	seed  uint64
	turns int // answered ones
}

// start schedules the arrivals of a zone and rank as a Poisson process with a changing rate.
func (l *load) start(zone, rank int, most float64) {
	if most <= 0 {
		return
	}
	var next func(now time.Duration)
	next = func(now time.Duration) {
		if l.world.random.Float64()*most < l.rate(now, zone, rank) {
			l.arrive(now, zone, rank)
		}
		l.world.schedule(now+l.gap(most), next)
	}
	l.world.schedule(l.gap(most), next)
}

func (l *load) gap(rate float64) time.Duration {
	return time.Duration(l.world.random.ExpFloat64() / rate * float64(time.Second))
}

func (l *load) arrive(now time.Duration, zone, rank int) {
	w := l.world
	w.requests++
	q := &request{id: strconv.Itoa(w.requests), number: w.requests, rank: rank, arrived: now}
	q.organisation = l.organisation()
	if rank == 0 {
		l.chat(q, zone)
	} else {
		l.read(q, zone)
	}
	q.allowed = w.allowedZones(q.organisation)
	q.giveUp = now + w.timeout()
	q.entry = l.redirect(now, zone)
	q.pathDelay = w.doc.Network.CallerDelay.Duration
	w.result.offered(now, q)
	entry := &w.zones[q.entry]
	q.gateway = entry.gateways[w.random.IntN(len(entry.gateways))]
	w.schedule(now+w.doc.Network.CallerDelay.Duration, func(now time.Duration) { q.gateway.policy.arrive(now, q) })
}

func (l *load) organisation() int {
	x := l.world.random.Float64()
	for i, part := range l.mix {
		if x < part {
			return i
		}
		x -= part
	}
	return len(l.mix) - 1
}

// spread returns a length around a mean.
func (l *load) spread(mean int) int {
	return int(float64(mean) * (1 - seriesSpread + 2*seriesSpread*l.world.random.Float64()))
}

func (l *load) chat(q *request, zone int) {
	c := l.conversation(q.organisation, zone)
	q.conversation = c
	q.turn = c.turns
	q.prefix = chain(nil, uint64(q.organisation+1), systemBlocks)
	q.prefix = chain(q.prefix, c.seed, min(c.turns, conversationBlocks))
	q.prompt = len(q.prefix)*router.BlockTokens + l.spread(chatNewTokens)
	q.output = l.spread(chatOutput)
	q.fresh = q.prompt - (len(q.prefix)-min(c.turns, 1))*router.BlockTokens
}

// conversation returns one of the chats in progress, or a new one in place of it.
func (l *load) conversation(organisation, zone int) *conversation {
	key := [2]int{organisation, zone}
	chats := l.chats[key]
	fresh := &conversation{seed: l.world.random.Uint64()}
	if len(chats) < knownChats {
		l.chats[key] = append(chats, fresh)
		return fresh
	}
	i := l.world.random.IntN(len(chats))
	if l.world.random.IntN(chatTurns) == 0 {
		chats[i] = fresh
	}
	return chats[i]
}

func (l *load) read(q *request, zone int) {
	q.prompt = l.spread(readTokens)
	q.output = l.spread(readOutput)
	q.fresh = q.prompt
	q.seed = l.world.random.Uint64()
	q.origin = zone
	known := l.reads[zone]
	if len(known) == knownReads && l.world.random.Float64() < readAgain {
		q.seed = known[l.world.random.IntN(knownReads)]
		q.prompt = readTokens
		q.fresh = readTokens % router.BlockTokens
	}
	q.prefix = chain(nil, q.seed, q.prompt/router.BlockTokens)
}

// finished lets a conversation go on, and a document be read again, once the request was answered.
func (l *load) finished(q *request) {
	if q.conversation != nil {
		q.conversation.turns = max(q.conversation.turns, q.turn+1)
		return
	}
	known := l.reads[q.origin]
	if len(known) == knownReads {
		known = known[1:]
	}
	l.reads[q.origin] = append(known, q.seed)
}

// chain extends a prefix by blocks that depend on all earlier ones.
func chain(prefix []router.Digest, seed uint64, blocks int) []router.Digest {
	last := seed*0x9e3779b97f4a7c15 + 1
	if len(prefix) > 0 {
		last ^= uint64(prefix[len(prefix)-1])
	}
	for range blocks {
		last = (last ^ (last >> 29)) * 0xbf58476d1ce4e5b9
		last ^= last >> 32
		prefix = append(prefix, router.Digest(last))
	}
	return prefix
}

// meanWork is the engine time of a mean request of a rank with the hits of a warm cache.
func meanWork(rank, batchLimit int) time.Duration {
	if rank == 0 {
		return work(chatNewTokens+router.BlockTokens, chatOutput, batchLimit)
	}
	return work(int(readTokens*(1-readAgain)), readOutput, batchLimit)
}

// wave is a daily demand between low and high with its peak at a part of the day.
func wave(part, peak, low, high float64) float64 {
	return low + (high-low)*(1+math.Cos(2*math.Pi*(part-peak)))/2
}

// allowedZones is what the residency rules leave to an organisation for the service of the pool.
func (w *world) allowedZones(organisation int) []string {
	var allowed []string
	for i := range w.zones {
		if w.allows(organisation, i) {
			allowed = append(allowed, w.zones[i].name)
		}
	}
	return allowed
}

// timeout is the time after which callers give up.
func (w *world) timeout() time.Duration {
	for _, s := range w.doc.Services {
		if s.Pool == w.pool.Name {
			return s.Timeout.Duration
		}
	}
	return time.Minute
}
