package router

import "math/bits"

const (
	prefixIndexCapacity = 1 << 17 // digests kept, up to 24 MB including the map for 64 upstreams
	maxIndexedBlocks    = 128     // blocks looked up per prompt; later ones hardly affect a decision
	confidenceAfterGap  = 0.5     // confidence in a cache view right after a gap
	confidencePerBlock  = 0.002   // confidence regained per block stored after the gap
	hitShareWeight      = 0.02    // weight of one prompt in the mean hit share
)

// prefixIndex maps each block digest to a bit set of the upstreams that have it cached. Entries are evicted by the
// clock algorithm.
type prefixIndex struct {
	slots          map[Digest]int32
	digests        []Digest
	referenced     []bool // reference bits of the clock algorithm
	holders        []uint64
	wordsPerDigest int // words per bit set
	clockHand      int // next slot considered for eviction
	capacity       int
}

func newPrefixIndex(capacity int) *prefixIndex {
	return &prefixIndex{slots: map[Digest]int32{}, wordsPerDigest: 1, capacity: capacity}
}

// growTo widens the bit sets for a number of upstreams.
func (p *prefixIndex) growTo(upstreams int) {
	words := (upstreams + 63) / 64
	if words <= p.wordsPerDigest {
		return
	}
	holders := make([]uint64, len(p.digests)*words, p.capacity*words)
	for i := range p.digests {
		copy(holders[i*words:], p.holders[i*p.wordsPerDigest:(i+1)*p.wordsPerDigest])
	}
	p.holders = holders
	p.wordsPerDigest = words
}

func (p *prefixIndex) holdersOf(slot int32) []uint64 {
	start := int(slot) * p.wordsPerDigest
	return p.holders[start : start+p.wordsPerDigest]
}

func (p *prefixIndex) add(upstream int, d Digest) {
	slot, ok := p.slots[d]
	if !ok {
		slot = p.allocate(d)
	}
	p.referenced[slot] = true
	p.holdersOf(slot)[upstream/64] |= 1 << (upstream % 64)
}

func (p *prefixIndex) remove(upstream int, d Digest) {
	if slot, ok := p.slots[d]; ok {
		p.holdersOf(slot)[upstream/64] &^= 1 << (upstream % 64)
	}
}

// removeUpstream removes an upstream from all bit sets.
func (p *prefixIndex) removeUpstream(upstream int) {
	for i := upstream / 64; i < len(p.holders); i += p.wordsPerDigest {
		p.holders[i] &^= 1 << (upstream % 64)
	}
}

// allocate returns a slot for a new digest. If all slots are in use, it evicts a digest that was not used recently.
func (p *prefixIndex) allocate(d Digest) int32 {
	if len(p.digests) < p.capacity {
		p.digests = append(p.digests, d)
		p.referenced = append(p.referenced, true)
		p.holders = append(p.holders, make([]uint64, p.wordsPerDigest)...)
		p.slots[d] = int32(len(p.digests) - 1)
		return p.slots[d]
	}
	for p.referenced[p.clockHand] {
		p.referenced[p.clockHand] = false
		p.clockHand = (p.clockHand + 1) % p.capacity
	}
	slot := int32(p.clockHand)
	delete(p.slots, p.digests[slot])
	clear(p.holdersOf(slot))
	p.digests[slot] = d
	p.slots[d] = slot
	p.clockHand = (p.clockHand + 1) % p.capacity
	return slot
}

// countHits writes the number of leading blocks of the prefix that each upstream has cached to hitBlocks, which must be
// zeroed by the caller. It uses matching as scratch space.
func (p *prefixIndex) countHits(prefix []Digest, matching []uint64, hitBlocks []int16) {
	prefix = prefix[:min(len(prefix), maxIndexedBlocks)]
	for i := range matching {
		matching[i] = ^uint64(0)
	}
	length := 0
	for _, d := range prefix {
		slot, ok := p.slots[d]
		if !ok {
			break
		}
		p.referenced[slot] = true
		if !intersect(matching, p.holdersOf(slot), hitBlocks, int16(length)) {
			return
		}
		length++
	}
	if length > 0 {
		recordLengths(matching, hitBlocks, int16(length))
	}
}

// intersect keeps the upstreams that also have the next block and records the length for those that do not. It reports
// whether any upstream is left.
func intersect(matching, holders []uint64, hitBlocks []int16, length int16) bool {
	remaining := uint64(0)
	for w := range matching {
		if dropped := matching[w] &^ holders[w]; dropped != 0 && length > 0 {
			recordWordLengths(w, dropped, hitBlocks, length)
		}
		matching[w] &= holders[w]
		remaining |= matching[w]
	}
	return remaining != 0
}

func recordLengths(matching []uint64, hitBlocks []int16, length int16) {
	for w, upstreams := range matching {
		recordWordLengths(w, upstreams, hitBlocks, length)
	}
}

func recordWordLengths(w int, upstreams uint64, hitBlocks []int16, length int16) {
	for upstreams != 0 {
		hitBlocks[w*64+bits.TrailingZeros64(upstreams)] = length
		upstreams &= upstreams - 1
	}
}
