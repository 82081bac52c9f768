package measurer

import (
	"container/list"

	"sequoiaspread.example/sequoia/router"
)

// cache is the prefix cache of a runner: blocks in order of last use.
type cache struct {
	capacity int
	blocks   map[router.Digest]*list.Element
	order    *list.List // most recent first
	stored   []router.Digest
	removed  []router.Digest
}

func newCache(capacity int) *cache {
	return &cache{capacity: capacity, blocks: map[router.Digest]*list.Element{}, order: list.New()}
}

// hit returns the leading blocks of a prompt that are in the cache.
func (c *cache) hit(prefix []router.Digest) int {
	for i, d := range prefix {
		e, ok := c.blocks[d]
		if !ok {
			return i
		}
		c.order.MoveToFront(e)
	}
	return len(prefix)
}

// store adds the blocks of a prompt and removes the least recently used ones.
func (c *cache) store(prefix []router.Digest) {
	for _, d := range prefix {
		if e, ok := c.blocks[d]; ok {
			c.order.MoveToFront(e)
			continue
		}
		c.blocks[d] = c.order.PushFront(d)
		c.stored = append(c.stored, d)
	}
	for c.order.Len() > c.capacity {
		last := c.order.Back()
		d := c.order.Remove(last).(router.Digest)
		delete(c.blocks, d)
		c.removed = append(c.removed, d)
	}
}

// changes returns what was stored and removed since the last call.
func (c *cache) changes() (stored, removed []router.Digest) {
	stored, removed = c.stored, c.removed
	c.stored, c.removed = nil, nil
	return stored, removed
}
