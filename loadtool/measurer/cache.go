package measurer

import (
	"container/list"

	"sequoiaspread.example/sequoia/router"
)

// cache is the prefix cache of a runner, with least-recently-used eviction of blocks.
type cache struct {
	capacity int
	blocks   map[router.Digest]*list.Element
	recency  *list.List // most recent first
	stored   []router.Digest
	removed  []router.Digest
}

func newCache(capacity int) *cache {
	return &cache{capacity: capacity, blocks: map[router.Digest]*list.Element{}, recency: list.New()}
}

// hitBlocks returns the number of leading blocks of a prompt that are in the cache.
func (c *cache) hitBlocks(prefix []router.Digest) int {
	for i, d := range prefix {
		e, ok := c.blocks[d]
		if !ok {
			return i
		}
		c.recency.MoveToFront(e)
	}
	return len(prefix)
}

// store adds the blocks of a prompt and evicts the least recently used ones beyond the capacity.
func (c *cache) store(prefix []router.Digest) {
	for _, d := range prefix {
		if e, ok := c.blocks[d]; ok {
			c.recency.MoveToFront(e)
			continue
		}
		c.blocks[d] = c.recency.PushFront(d)
		c.stored = append(c.stored, d)
	}
	for c.recency.Len() > c.capacity {
		last := c.recency.Back()
		d := c.recency.Remove(last).(router.Digest)
		delete(c.blocks, d)
		c.removed = append(c.removed, d)
	}
}

// takeChanges returns the blocks stored and removed since the last call.
func (c *cache) takeChanges() (stored, removed []router.Digest) {
	stored, removed = c.stored, c.removed
	c.stored, c.removed = nil, nil
	return stored, removed
}
