package engine

import (
	"container/list"
	"slices"

	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/wire/engineapi"
)

const (
	// eventsKept bounds the cache events that can still be asked for, eventsServed
	// those of one answer.
	eventsKept   = 4096
	eventsServed = 1024
)

// prefixCache is the least recently used cache of prompt prefixes, with the
// events of its changes.
type prefixCache struct {
	capacity int
	recent   *list.List // of cachedPrefix, the newest first
	byPrefix map[uint64]*list.Element
	number   int64
	events   []backend.CacheEvent
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

// lookUpPrefixes returns the share of the chat's prefixes that were cached,
// and caches all of them.
func (l *life) lookUpPrefixes(chat *engineapi.Chat) float64 {
	gaps := l.engine.Faults.Get().CacheEventGaps
	prefixes := chat.Prefixes()
	if len(prefixes) == 0 {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	hits := 0
	for _, prefix := range prefixes {
		element, found := l.cache.byPrefix[prefix]
		if !found {
			break
		}
		l.cache.recent.MoveToFront(element)
		hits++
	}
	for _, prefix := range prefixes[hits:] {
		l.cache.store(ident.ModelName(chat.Model), prefix, gaps)
	}
	return float64(hits) / float64(len(prefixes))
}

func (c *prefixCache) store(model ident.ModelName, prefix uint64, gaps int) {
	if element, found := c.byPrefix[prefix]; found {
		c.recent.MoveToFront(element)
		return
	}
	entry := cachedPrefix{
		model:  model,
		prefix: prefix,
	}
	c.byPrefix[prefix] = c.recent.PushFront(entry)
	c.tell(entry, true, gaps)
	if c.recent.Len() > c.capacity {
		oldest := c.recent.Remove(c.recent.Back()).(cachedPrefix)
		delete(c.byPrefix, oldest.prefix)
		c.tell(oldest, false, gaps)
	}
}

func (c *prefixCache) tell(entry cachedPrefix, stored bool, gaps int) {
	c.number++
	if gaps > 0 && c.number%int64(gaps) == 0 {
		return
	}
	c.events = append(c.events, backend.CacheEvent{
		Number: c.number,
		Model:  entry.model,
		Prefix: entry.prefix,
		Stored: stored,
	})
	if over := len(c.events) - eventsKept; over > 0 {
		c.events = slices.Delete(c.events, 0, over)
	}
}

func (l *life) cacheEvents(after int64) []backend.CacheEvent {
	l.mu.Lock()
	defer l.mu.Unlock()
	at, _ := slices.BinarySearchFunc(l.cache.events, after+1, func(event backend.CacheEvent, number int64) int {
		return int(event.Number - number)
	})
	newer := l.cache.events[at:]
	return slices.Clone(newer[:min(len(newer), eventsServed)])
}
