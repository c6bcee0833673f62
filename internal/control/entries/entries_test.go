package entries

import (
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/store"
)

// fakeService is a key-value service that keeps its history.
type fakeService struct {
	revision ident.Revision
	entries  map[string]store.Entry
	events   []store.Event
}

func (s *fakeService) write(key string, deleted bool) {
	if _, exists := s.entries[key]; deleted && !exists {
		return
	}
	s.revision++
	event := store.Event{
		Entry: store.Entry{
			Key:      key,
			Revision: s.revision,
		},
		Deleted: deleted,
	}
	delete(s.entries, key)
	if !deleted {
		event.Entry.Value = []byte(strconv.FormatInt(int64(s.revision), 10))
		s.entries[key] = event.Entry
	}
	s.events = append(s.events, event)
}

func (s *fakeService) list() store.Listing {
	listing := store.Listing{
		Revision: s.revision,
	}
	for _, entry := range s.entries {
		listing.Entries = append(listing.Entries, entry)
	}
	return listing
}

// since returns what a watch after a revision receives.
func (s *fakeService) since(after ident.Revision) store.Batch {
	batch := store.Batch{
		Revision: s.revision,
	}
	for _, event := range s.events {
		if event.Entry.Revision > after {
			batch.Events = append(batch.Events, event)
		}
	}
	return batch
}

// clientView is the state that a client builds from the changes that a cache returns.
type clientView map[string]store.Entry

func (v clientView) apply(t require.TestingT, events []store.Event) {
	for _, event := range events {
		require.Greater(t, event.Entry.Revision, v[event.Entry.Key].Revision, "a change is undone")
		if event.Deleted {
			delete(v, event.Entry.Key)
			continue
		}
		v[event.Entry.Key] = event.Entry
	}
}

// Two watchers follow the service, each with gaps after which it lists everything, and a host
// asks one or the other. No change is ever undone at the host, and once it has an update from a
// watcher that is up to date, it has the service's entries: otherwise a server that has left
// would get requests again.
func TestCacheFollowsServiceThroughWatchers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &fakeService{
			entries: make(map[string]store.Entry),
		}
		var watchers [2]Cache
		var host Cache
		view := make(clientView)
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			index := rapid.IntRange(0, 1).Draw(t, "reader")
			watcher := &watchers[index]
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				s.write("k"+strconv.Itoa(rapid.IntRange(0, 5).Draw(t, "key")), rapid.Bool().Draw(t, "deleted"))
			case 2:
				if watcher.Revision() > 0 {
					watcher.Apply(s.since(watcher.Revision()))
				}
			case 3:
				watcher.Replace(s.list())
			case 4:
				update := watcher.Since(host.Revision())
				view.apply(t, host.ApplyUpdate(&update))
			}
		}
		watchers[0].Replace(s.list())
		update := watchers[0].Since(host.Revision())
		view.apply(t, host.ApplyUpdate(&update))
		require.Len(t, view, len(s.entries))
		for key, entry := range s.entries {
			require.Equal(t, entry, view[key])
		}
	})
}

// A listing that started before a change arrives after it. It must neither restore what was
// deleted meanwhile nor delete what was written.
func TestReplaceWithOlderListingUndoesNothing(t *testing.T) {
	s := &fakeService{
		entries: make(map[string]store.Entry),
	}
	s.write("stays", false)
	s.write("goes", false)
	oldListing := s.list()
	s.write("goes", true)
	s.write("comes", false)
	var cache Cache
	cache.Apply(s.since(0))
	require.Empty(t, cache.Replace(oldListing))
	require.Len(t, cache.entries, 2)
	require.Contains(t, cache.entries, "comes")
}

// The cache forgets old deletions: a host that is behind the oldest one it has gets all
// entries.
func TestSinceOldRevisionReturnsEverything(t *testing.T) {
	s := &fakeService{
		entries: make(map[string]store.Entry),
	}
	s.write("first", false)
	var cache, host Cache
	cache.Replace(s.list())
	update := cache.Since(0)
	host.ApplyUpdate(&update)
	for i := range maxDeletions + 1 {
		s.write("k"+strconv.Itoa(i), false)
		s.write("k"+strconv.Itoa(i), true)
	}
	s.write("first", true)
	cache.Apply(s.since(cache.Revision()))
	require.LessOrEqual(t, len(cache.deletions), maxDeletions)
	update = cache.Since(host.Revision())
	require.True(t, update.Complete)
	host.ApplyUpdate(&update)
	require.Empty(t, host.entries)
}

// Guards against a watcher whose replies cost as much as there are entries, and against a log
// that grows with each change.
func TestReplyCostDoesNotGrowWithEntries(t *testing.T) {
	measure := func(n int) float64 {
		s := &fakeService{
			entries: make(map[string]store.Entry),
		}
		for i := range n {
			s.write("k"+strconv.Itoa(i), false)
		}
		var cache Cache
		cache.Replace(s.list())
		for range 5 * n {
			known := cache.Revision()
			s.write("k7", false)
			cache.Apply(store.Batch{
				Events:   s.events[len(s.events)-1:],
				Revision: s.revision,
			})
			require.LessOrEqual(t, len(cache.log.changes), (1+maxOutdatedChanges)*n)
			require.Len(t, cache.log.since(known), 1)
		}
		return testing.AllocsPerRun(20, func() {
			require.Len(t, cache.Since(cache.Revision()-1).Events, 1)
		})
	}
	require.InDelta(t, measure(500), measure(1000), 1)
}
