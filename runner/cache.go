package main

import (
	"container/list"
	"hash/fnv"
)

// blockTokens is the number of prompt tokens whose keys and values are cached together.
const blockTokens = 16

// block identifies a prompt prefix that ends at a multiple of blockTokens.
type block uint64

// cache holds prompt prefixes and evicts the least recently used.
type cache struct {
	order *list.List
	items map[block]*list.Element
}

func newCache() *cache {
	return &cache{order: list.New(), items: map[block]*list.Element{}}
}

// blocksOf returns the prefixes of a prompt, shortest first.
func blocksOf(prompt []string) []block {
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

// hits returns the number of leading blocks that are cached, and marks them as used.
func (c *cache) hits(blocks []block) int {
	for i, each := range blocks {
		element, ok := c.items[each]
		if !ok {
			return i
		}
		c.order.MoveToFront(element)
	}
	return len(blocks)
}

// add stores blocks and returns those that were new.
func (c *cache) add(blocks []block) []block {
	var added []block
	for _, each := range blocks {
		if element, ok := c.items[each]; ok {
			c.order.MoveToFront(element)
			continue
		}
		c.items[each] = c.order.PushFront(each)
		added = append(added, each)
	}
	return added
}

// shrink evicts blocks until the tokens held are at most the limit, and returns the evicted blocks.
func (c *cache) shrink(limit int) []block {
	var evicted []block
	for c.order.Len() > 0 && c.tokens() > limit {
		last := c.order.Remove(c.order.Back()).(block)
		delete(c.items, last)
		evicted = append(evicted, last)
	}
	return evicted
}

func (c *cache) tokens() int {
	return c.order.Len() * blockTokens
}
