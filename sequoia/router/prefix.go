package router

import "math/bits"

const (
	indexCapacity  = 1 << 17 // digests remembered, at most 24 MB with the map for 64 upstreams
	maxBlocks      = 128     // blocks of a prompt compared; later ones add little to a decision
	gapConfidence  = 0.5     // trust in a view right after a gap
	regainPerBlock = 0.002   // trust regained with each block stored after the gap
	hitWeight      = 0.02    // weight of one observed prompt in the usual hit share
)

// prefixIndex holds which upstreams hold which blocks, as one bit set of rows for each digest.
type prefixIndex struct {
	slots    map[Digest]int32
	digests  []Digest
	recent   []bool // looked up since the clock hand passed
	sets     []uint64
	words    int // words in each bit set
	hand     int // next slot to examine for eviction
	capacity int
}

func newPrefixIndex(capacity int) *prefixIndex {
	return &prefixIndex{slots: map[Digest]int32{}, words: 1, capacity: capacity}
}

// reserve makes room for a number of rows.
func (p *prefixIndex) reserve(rows int) {
	words := (rows + 63) / 64
	if words <= p.words {
		return
	}
	sets := make([]uint64, len(p.digests)*words, p.capacity*words)
	for i := range p.digests {
		copy(sets[i*words:], p.sets[i*p.words:(i+1)*p.words])
	}
	p.sets = sets
	p.words = words
}

func (p *prefixIndex) set(slot int32) []uint64 {
	start := int(slot) * p.words
	return p.sets[start : start+p.words]
}

func (p *prefixIndex) add(row int, d Digest) {
	slot, ok := p.slots[d]
	if !ok {
		slot = p.claim(d)
	}
	p.recent[slot] = true
	p.set(slot)[row/64] |= 1 << (row % 64)
}

func (p *prefixIndex) remove(row int, d Digest) {
	if slot, ok := p.slots[d]; ok {
		p.set(slot)[row/64] &^= 1 << (row % 64)
	}
}

// removeRow forgets all blocks of a row.
func (p *prefixIndex) removeRow(row int) {
	for i := row / 64; i < len(p.sets); i += p.words {
		p.sets[i] &^= 1 << (row % 64)
	}
}

// claim returns a slot for a new digest; when all are used it evicts one not looked up recently.
func (p *prefixIndex) claim(d Digest) int32 {
	if len(p.digests) < p.capacity {
		p.digests = append(p.digests, d)
		p.recent = append(p.recent, true)
		p.sets = append(p.sets, make([]uint64, p.words)...)
		p.slots[d] = int32(len(p.digests) - 1)
		return p.slots[d]
	}
	for p.recent[p.hand] {
		p.recent[p.hand] = false
		p.hand = (p.hand + 1) % p.capacity
	}
	slot := int32(p.hand)
	delete(p.slots, p.digests[slot])
	clear(p.set(slot))
	p.digests[slot] = d
	p.slots[d] = slot
	p.hand = (p.hand + 1) % p.capacity
	return slot
}

// hits writes into out, for each row, how many leading blocks of the prefix it holds; rows must be zero before.
func (p *prefixIndex) hits(prefix []Digest, alive []uint64, out []int16) {
	prefix = prefix[:min(len(prefix), maxBlocks)]
	for i := range alive {
		alive[i] = ^uint64(0)
	}
	held := 0
	for _, d := range prefix {
		slot, ok := p.slots[d]
		if !ok {
			break
		}
		p.recent[slot] = true
		if !narrow(alive, p.set(slot), out, int16(held)) {
			return
		}
		held++
	}
	if held > 0 {
		record(alive, out, int16(held))
	}
}

// narrow keeps the rows that also hold the next block, and records the length for those that do not.
func narrow(alive, set []uint64, out []int16, length int16) bool {
	rest := uint64(0)
	for w := range alive {
		if dropped := alive[w] &^ set[w]; dropped != 0 && length > 0 {
			recordWord(w, dropped, out, length)
		}
		alive[w] &= set[w]
		rest |= alive[w]
	}
	return rest != 0
}

func record(alive []uint64, out []int16, length int16) {
	for w, rows := range alive {
		recordWord(w, rows, out, length)
	}
}

func recordWord(w int, rows uint64, out []int16, length int16) {
	for rows != 0 {
		out[w*64+bits.TrailingZeros64(rows)] = length
		rows &= rows - 1
	}
}
