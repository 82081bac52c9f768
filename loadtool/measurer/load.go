package measurer

import (
	"math"
	"strconv"
	"time"

	"sequoiaspread.example/sequoia/router"
)

// Sizes of the two kinds of requests: chats, and long reads, which have a whole document as prompt.
const (
	systemPromptBlocks    = 8 // prompt blocks that all chats of an organisation share
	maxConversationBlocks = 6 // prompt blocks of earlier turns
	meanChatTurns         = 5
	chatNewTokens         = 64
	chatOutputTokens      = 110
	readTokens            = 5000
	readOutputTokens      = 250
	repeatedReadShare     = 0.3 // share of long reads that repeat a recent document
	maxRecentReads        = 50  // candidates for a repeated read, for each availability zone
	maxConversations      = 60  // in progress, for each organisation and availability zone
	lengthSpread          = 0.4 // largest relative deviation of a length from its mean, in both directions
)

// load generates the requests of all availability zones.
type load struct {
	sim                *simulation
	rate               func(now time.Duration, zone, rank int) float64 // requests per second
	organisationShares []float64                                       // of the arrivals
	entryZone          func(now time.Duration, zone int) int           // where callers of a zone send their requests
	chats              map[[2]int][]*conversation
	recentReads        map[int][]uint64
}

// conversation is a chat in progress.
type conversation struct {
	seed          uint64
	answeredTurns int
}

// start schedules the arrivals of a zone and rank as a Poisson process with a varying rate: candidate arrivals at
// maxRate are thinned to the current rate.
func (l *load) start(zone, rank int, maxRate float64) {
	if maxRate <= 0 {
		return
	}
	var next func(now time.Duration)
	next = func(now time.Duration) {
		if l.sim.random.Float64()*maxRate < l.rate(now, zone, rank) {
			l.addRequest(now, zone, rank)
		}
		l.sim.schedule(now+l.interarrivalTime(maxRate), next)
	}
	l.sim.schedule(l.interarrivalTime(maxRate), next)
}

func (l *load) interarrivalTime(rate float64) time.Duration {
	return time.Duration(l.sim.random.ExpFloat64() / rate * float64(time.Second))
}

func (l *load) addRequest(now time.Duration, zone, rank int) {
	sim := l.sim
	sim.requests++
	q := &request{id: strconv.Itoa(sim.requests), number: sim.requests, rank: rank, arrived: now}
	q.organisation = l.organisation()
	if rank == 0 {
		l.fillChat(q, zone)
	} else {
		l.fillLongRead(q, zone)
	}
	q.allowed = sim.allowedZones(q.organisation)
	q.deadline = now + sim.timeout()
	q.entryZone = l.entryZone(now, zone)
	q.pathDelay = sim.doc.Network.CallerDelay.Duration
	sim.result.offered(now, q)
	entry := &sim.zones[q.entryZone]
	q.gateway = entry.gateways[sim.random.IntN(len(entry.gateways))]
	sim.schedule(now+sim.doc.Network.CallerDelay.Duration, func(now time.Duration) { q.gateway.policy.arrived(now, q) })
}

func (l *load) organisation() int {
	x := l.sim.random.Float64()
	for i, part := range l.organisationShares {
		if x < part {
			return i
		}
		x -= part
	}
	return len(l.organisationShares) - 1
}

// randomLength returns a uniformly distributed length around a mean.
func (l *load) randomLength(mean int) int {
	return int(float64(mean) * (1 - lengthSpread + 2*lengthSpread*l.sim.random.Float64()))
}

func (l *load) fillChat(q *request, zone int) {
	c := l.nextConversation(q.organisation, zone)
	q.conversation = c
	q.turn = c.answeredTurns
	q.prefix = extendPrefix(nil, uint64(q.organisation+1), systemPromptBlocks)
	q.prefix = extendPrefix(q.prefix, c.seed, min(c.answeredTurns, maxConversationBlocks))
	q.promptTokens = len(q.prefix)*router.BlockTokens + l.randomLength(chatNewTokens)
	q.outputTokens = l.randomLength(chatOutputTokens)
	q.newTokens = q.promptTokens - (len(q.prefix)-min(c.answeredTurns, 1))*router.BlockTokens
}

// nextConversation returns one of the chats in progress, or a new one that replaces it.
func (l *load) nextConversation(organisation, zone int) *conversation {
	key := [2]int{organisation, zone}
	chats := l.chats[key]
	started := &conversation{seed: l.sim.random.Uint64()}
	if len(chats) < maxConversations {
		l.chats[key] = append(chats, started)
		return started
	}
	i := l.sim.random.IntN(len(chats))
	if l.sim.random.IntN(meanChatTurns) == 0 {
		chats[i] = started
	}
	return chats[i]
}

func (l *load) fillLongRead(q *request, zone int) {
	q.promptTokens = l.randomLength(readTokens)
	q.outputTokens = l.randomLength(readOutputTokens)
	q.newTokens = q.promptTokens
	q.documentSeed = l.sim.random.Uint64()
	q.originZone = zone
	recent := l.recentReads[zone]
	if len(recent) == maxRecentReads && l.sim.random.Float64() < repeatedReadShare {
		q.documentSeed = recent[l.sim.random.IntN(maxRecentReads)]
		q.promptTokens = readTokens
		q.newTokens = readTokens % router.BlockTokens
	}
	q.prefix = extendPrefix(nil, q.documentSeed, q.promptTokens/router.BlockTokens)
}

// finished makes the conversation or document of an answered request available to later requests.
func (l *load) finished(q *request) {
	if q.conversation != nil {
		q.conversation.answeredTurns = max(q.conversation.answeredTurns, q.turn+1)
		return
	}
	recent := l.recentReads[q.originZone]
	if len(recent) == maxRecentReads {
		recent = recent[1:]
	}
	l.recentReads[q.originZone] = append(recent, q.documentSeed)
}

// extendPrefix appends blocks to a prefix; each digest depends on all blocks before it.
func extendPrefix(prefix []router.Digest, seed uint64, blocks int) []router.Digest {
	digest := seed*0x9e3779b97f4a7c15 + 1
	if len(prefix) > 0 {
		digest ^= uint64(prefix[len(prefix)-1])
	}
	for range blocks {
		digest = (digest ^ (digest >> 29)) * 0xbf58476d1ce4e5b9
		digest ^= digest >> 32
		prefix = append(prefix, router.Digest(digest))
	}
	return prefix
}

// meanEngineTime returns the engine time of a mean request of a rank with a warm prefix cache.
func meanEngineTime(rank, batchLimit int) time.Duration {
	if rank == 0 {
		return engineTime(chatNewTokens+router.BlockTokens, chatOutputTokens, batchLimit)
	}
	return engineTime(int(readTokens*(1-repeatedReadShare)), readOutputTokens, batchLimit)
}

// dailyDemand returns a demand that follows a cosine between low and high; times are fractions of a day.
func dailyDemand(dayFraction, peakFraction, low, high float64) float64 {
	return low + (high-low)*(1+math.Cos(2*math.Pi*(dayFraction-peakFraction)))/2
}

// allowedZones returns the availability zones in which the residency rules let the requests of an organisation run.
func (sim *simulation) allowedZones(organisation int) []string {
	var allowed []string
	for i := range sim.zones {
		if sim.allows(organisation, i) {
			allowed = append(allowed, sim.zones[i].name)
		}
	}
	return allowed
}

// timeout returns the request timeout of the pool's service.
func (sim *simulation) timeout() time.Duration {
	for _, s := range sim.doc.Services {
		if s.Pool == sim.pool.Name {
			return s.Timeout.Duration
		}
	}
	return time.Minute
}
