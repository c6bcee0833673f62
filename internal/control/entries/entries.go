// Package entries caches the entries below one prefix of the key-value service, and which of
// them have changed since a revision.
//
// In a large fleet few hosts watch the service, and the others ask those watchers. Revisions
// are the service's own and count all changes. So a host may ask any watcher for the changes
// after the newest revision that it knows, and ignores any that is older than what it has for
// the key. A watcher that is behind returns less, but never anything that undoes a change.
//
// What Since costs goes by the changes that it returns, not by the entries: a watcher answers
// hundreds of hosts a second.
//
// Watchers call Replace and Apply with what they read from the service, and Since for the hosts
// that ask them; those call ApplyUpdate with the result. A Cache has no lock: one goroutine
// owns it.
//
// # Usage
//
//	var cache entries.Cache
//	changes := cache.Replace(listing)    // a complete listing
//	changes = cache.Apply(batch)         // the changes after it
//	update := cache.Since(revision)
//	...
//	changes = other.ApplyUpdate(&update) // at the host that asked
package entries

import (
	"cmp"
	"slices"

	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/store"
)

// maxDeletions is the number of deletions that are remembered. A host that is further behind
// gets all entries.
const maxDeletions = 4096

// Cache has the entries. The zero value is empty and ready to use; it belongs to one goroutine.
type Cache struct {
	revision ident.Revision
	entries  map[string]store.Entry
	// deletions has the deleted keys with the revisions of their deletion, complete from the
	// revision completeFrom on, except for keys that were written and deleted within a gap.
	deletions    map[string]ident.Revision
	completeFrom ident.Revision
	gaps         []gap
	log          changeLog
}

// gap is a span of changes that were not watched, between the end of a watch and the listing
// after it. A host that knows all changes up to a revision within it may have keys that were
// deleted later in it.
type gap struct {
	after  ident.Revision
	before ident.Revision
}

// maxGaps is the number of gaps that are remembered.
const maxGaps = 8

// Update has the changes since a revision.
type Update struct {
	// Revision is the one up to which all changes are included.
	Revision ident.Revision
	// Complete is whether all entries are included: any other key is deleted.
	Complete bool
	Events   []store.Event
}

// Revision returns the newest revision up to which all changes are known.
func (c *Cache) Revision() ident.Revision {
	return c.revision
}

// Replace replaces the cache by a complete listing, and returns the changes. A listing older
// than the cache deletes nothing: it lacks keys that have been written since.
func (c *Cache) Replace(listing store.Listing) []store.Event {
	return c.replaceAll(store.Batch{
		Events:   WriteEvents(listing.Entries),
		Revision: listing.Revision,
	})
}

// WriteEvents returns the events that write some entries.
func WriteEvents(written []store.Entry) []store.Event {
	events := make([]store.Event, 0, len(written))
	for i := range written {
		events = append(events, store.Event{
			Entry: written[i],
		})
	}
	return events
}

// replaceAll replaces the cache by the writes of all entries that exist.
func (c *Cache) replaceAll(all store.Batch) []store.Event {
	if all.Revision >= c.revision {
		all.Events = append(all.Events, c.deletionsOfMissing(&all)...)
		c.addGap(all.Revision)
	}
	return c.Apply(all)
}

func (c *Cache) addGap(listed ident.Revision) {
	c.gaps = append(c.gaps, gap{
		after:  c.revision,
		before: listed,
	})
	if len(c.gaps) > maxGaps {
		c.completeFrom = max(c.completeFrom, c.gaps[0].before)
		c.gaps = slices.Delete(c.gaps, 0, 1)
	}
}

// needsAll returns whether a host that knows all changes up to a revision has to get all
// entries.
func (c *Cache) needsAll(known ident.Revision) bool {
	return known < c.completeFrom || slices.ContainsFunc(c.gaps, func(g gap) bool { return known > g.after && known < g.before })
}

// deletionsOfMissing returns the deletions of cached entries that a complete listing lacks.
func (c *Cache) deletionsOfMissing(all *store.Batch) []store.Event {
	seen := make(map[string]bool, len(all.Events))
	for i := range all.Events {
		seen[all.Events[i].Entry.Key] = true
	}
	var events []store.Event
	for key, entry := range c.entries {
		if !seen[key] && entry.Revision <= all.Revision {
			events = append(events, newDeletion(key, all.Revision))
		}
	}
	slices.SortFunc(events, func(a, b store.Event) int { return cmp.Compare(a.Entry.Key, b.Entry.Key) })
	return events
}

func newDeletion(key string, at ident.Revision) store.Event {
	return store.Event{
		Entry: store.Entry{
			Key:      key,
			Revision: at,
		},
		Deleted: true,
	}
}

// Apply applies changes, and returns those that are new.
func (c *Cache) Apply(batch store.Batch) []store.Event {
	if c.entries == nil {
		c.entries = make(map[string]store.Entry)
		c.deletions = make(map[string]ident.Revision)
	}
	var applied []store.Event
	for i := range batch.Events {
		if c.applyEvent(&batch.Events[i]) {
			applied = append(applied, batch.Events[i])
		}
	}
	c.revision = max(c.revision, batch.Revision)
	if len(c.deletions) > maxDeletions {
		c.completeFrom = c.revision
		clear(c.deletions)
	}
	c.log.compact(len(c.entries)+len(c.deletions), func(change keyChange) bool {
		return c.entries[change.key].Revision != change.revision && c.deletions[change.key] != change.revision
	})
	return applied
}

func (c *Cache) applyEvent(event *store.Event) bool {
	entry := &event.Entry
	if entry.Revision <= c.entries[entry.Key].Revision || entry.Revision <= c.deletions[entry.Key] {
		return false
	}
	c.log.add(keyChange{
		revision: entry.Revision,
		key:      entry.Key,
	})
	if event.Deleted {
		_, known := c.entries[entry.Key]
		delete(c.entries, entry.Key)
		c.deletions[entry.Key] = entry.Revision
		return known
	}
	delete(c.deletions, entry.Key)
	c.entries[entry.Key] = *entry
	return true
}

// NeedsAll returns whether a host that knows all changes up to a revision, 0 for none, has to get
// all entries.
func (c *Cache) NeedsAll(known ident.Revision) bool {
	return known == 0 || c.needsAll(known)
}

// All returns all entries.
func (c *Cache) All() Update {
	update := Update{
		Revision: c.revision,
		Complete: true,
	}
	for _, change := range c.log.since(0) {
		if entry := c.entries[change.key]; entry.Revision == change.revision {
			update.Events = append(update.Events, store.Event{
				Entry: entry,
			})
		}
	}
	return update
}

// Since returns the changes after a revision, in the order of their revisions.
func (c *Cache) Since(known ident.Revision) Update {
	if c.needsAll(known) {
		return c.All()
	}
	update := Update{
		Revision: c.revision,
	}
	if known >= c.revision {
		return update
	}
	for _, change := range c.log.since(known) {
		entry := c.entries[change.key]
		switch {
		case entry.Revision == change.revision:
			update.Events = append(update.Events, store.Event{
				Entry: entry,
			})
		case c.deletions[change.key] == change.revision:
			update.Events = append(update.Events, newDeletion(change.key, change.revision))
		}
	}
	return update
}

// ApplyUpdate applies another host's update, and returns the changes that are new.
func (c *Cache) ApplyUpdate(update *Update) []store.Event {
	batch := store.Batch{
		Events:   update.Events,
		Revision: update.Revision,
	}
	if update.Complete {
		return c.replaceAll(batch)
	}
	return c.Apply(batch)
}
