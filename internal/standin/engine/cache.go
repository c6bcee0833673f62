package engine

import (
	"container/list"
	"slices"

	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/wire/engineapi"
)

const (
	// maxCacheEvents is the number of cache events kept, maxEventsPerAnswer the
	// largest number in one answer.
	maxCacheEvents     = 4096
	maxEventsPerAnswer = 1024
)

// prefixCache is an LRU cache of prompt prefixes that records its changes as
// numbered events.
type prefixCache struct {
	capacity        int
	recent          *list.List // of cachedPrefix, most recently used first
	byPrefix        map[uint64]*list.Element
	lastEventNumber int64
	events          []backend.CacheEvent
}

type cachedPrefix struct {
	model  ident.ModelName
	prefix uint64
}

func newPrefixCache(capacity int) prefixCache {
	return prefixCache{
		capacity: capacity,
		recent:   list.New(),
		byPrefix: make(map[uint64]*list.Element),
	}
}

// lookUpPrefixes returns the share of the chat's prefixes that were cached, and
// caches the rest.
func (inc *incarnation) lookUpPrefixes(chat *engineapi.Chat) float64 {
	gapInterval := inc.engine.Faults.Get().CacheEventGaps
	prefixes := chat.PrefixHashes()
	if len(prefixes) == 0 {
		return 0
	}
	inc.mu.Lock()
	defer inc.mu.Unlock()
	hits := 0
	for _, prefix := range prefixes {
		element, found := inc.cache.byPrefix[prefix]
		if !found {
			break
		}
		inc.cache.recent.MoveToFront(element)
		hits++
	}
	for _, prefix := range prefixes[hits:] {
		inc.cache.store(ident.ModelName(chat.Model), prefix, gapInterval)
	}
	return float64(hits) / float64(len(prefixes))
}

func (c *prefixCache) store(model ident.ModelName, prefix uint64, gapInterval int) {
	if element, found := c.byPrefix[prefix]; found {
		c.recent.MoveToFront(element)
		return
	}
	entry := cachedPrefix{
		model:  model,
		prefix: prefix,
	}
	c.byPrefix[prefix] = c.recent.PushFront(entry)
	c.recordEvent(entry, true, gapInterval)
	if c.recent.Len() > c.capacity {
		oldest := c.recent.Remove(c.recent.Back()).(cachedPrefix)
		delete(c.byPrefix, oldest.prefix)
		c.recordEvent(oldest, false, gapInterval)
	}
}

func (c *prefixCache) recordEvent(entry cachedPrefix, stored bool, gapInterval int) {
	c.lastEventNumber++
	if gapInterval > 0 && c.lastEventNumber%int64(gapInterval) == 0 {
		return
	}
	c.events = append(c.events, backend.CacheEvent{
		Number: c.lastEventNumber,
		Model:  entry.model,
		Prefix: entry.prefix,
		Stored: stored,
	})
	if excess := len(c.events) - maxCacheEvents; excess > 0 {
		c.events = slices.Delete(c.events, 0, excess)
	}
}

func (inc *incarnation) cacheEvents(after int64) []backend.CacheEvent {
	inc.mu.Lock()
	defer inc.mu.Unlock()
	first, _ := slices.BinarySearchFunc(inc.cache.events, after+1, func(event backend.CacheEvent, number int64) int {
		return int(event.Number - number)
	})
	newer := inc.cache.events[first:]
	return slices.Clone(newer[:min(len(newer), maxEventsPerAnswer)])
}
