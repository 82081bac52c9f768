package main

import (
	"container/list"
	"hash/fnv"
)

// blockTokens is the number of prompt tokens in one block of the KV cache.
const blockTokens = 16

// block is the hash of a prompt prefix whose length is a multiple of blockTokens.
type block uint64

// prefixCache is an LRU cache of prompt prefixes.
type prefixCache struct {
	lru      *list.List
	elements map[block]*list.Element
}

func newPrefixCache() *prefixCache {
	return &prefixCache{lru: list.New(), elements: map[block]*list.Element{}}
}

// prefixBlocks returns the blocks of a prompt, shortest prefix first.
func prefixBlocks(prompt []string) []block {
	digest := fnv.New64a()
	var blocks []block
	for i, token := range prompt {
		_, _ = digest.Write([]byte(token))
		_, _ = digest.Write([]byte{0})
		if (i+1)%blockTokens == 0 {
			blocks = append(blocks, block(digest.Sum64()))
		}
	}
	return blocks
}

// cachedBlocks returns the number of leading blocks that are cached, and marks them as recently used.
func (c *prefixCache) cachedBlocks(blocks []block) int {
	for i, each := range blocks {
		element, ok := c.elements[each]
		if !ok {
			return i
		}
		c.lru.MoveToFront(element)
	}
	return len(blocks)
}

// add stores blocks and returns those that were not cached before.
func (c *prefixCache) add(blocks []block) []block {
	var added []block
	for _, each := range blocks {
		if element, ok := c.elements[each]; ok {
			c.lru.MoveToFront(element)
			continue
		}
		c.elements[each] = c.lru.PushFront(each)
		added = append(added, each)
	}
	return added
}

// evictTo evicts blocks until at most limit tokens are cached, and returns the evicted blocks.
func (c *prefixCache) evictTo(limit int) []block {
	var evicted []block
	for c.lru.Len() > 0 && c.tokens() > limit {
		oldest := c.lru.Remove(c.lru.Back()).(block)
		delete(c.elements, oldest)
		evicted = append(evicted, oldest)
	}
	return evicted
}

// tokens returns the number of cached tokens.
func (c *prefixCache) tokens() int {
	return c.lru.Len() * blockTokens
}
