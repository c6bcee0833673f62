package entries

import (
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/store"
)

// service is a key-value service with a history.
type service struct {
	revision ident.Revision
	entries  map[string]store.Entry
	events   []store.Event
}

func (s *service) write(key string, deleted bool) {
	if _, there := s.entries[key]; deleted && !there {
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

func (s *service) list() store.Listing {
	listing := store.Listing{
		Revision: s.revision,
	}
	for _, entry := range s.entries {
		listing.Entries = append(listing.Entries, entry)
	}
	return listing
}

// since is a round of a watch.
func (s *service) since(after ident.Revision) store.Batch {
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

// view is what somebody makes of the news that a cache gives.
type view map[string]store.Entry

func (v view) take(t require.TestingT, news []store.Event) {
	for _, event := range news {
		require.Greater(t, event.Entry.Revision, v[event.Entry.Key].Revision, "a change is undone")
		if event.Deleted {
			delete(v, event.Entry.Key)
			continue
		}
		v[event.Entry.Key] = event.Entry
	}
}

// Two readers follow the service, each with gaps after which it reads everything, and a
// host asks now one and now the other. No change is ever undone for the host, and once it
// has heard from a reader that is up to date, it knows what stands in the service:
// otherwise a server that has left would get requests again.
func TestAHostThatAsksReadersKnowsWhatTheServiceHas(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &service{
			entries: make(map[string]store.Entry),
		}
		var readers [2]Cache
		var host Cache
		seen := make(view)
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			at := rapid.IntRange(0, 1).Draw(t, "reader")
			reader := &readers[at]
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				s.write("k"+strconv.Itoa(rapid.IntRange(0, 5).Draw(t, "key")), rapid.Bool().Draw(t, "deleted"))
			case 2:
				if reader.Revision() > 0 {
					reader.Apply(s.since(reader.Revision()))
				}
			case 3:
				reader.Replace(s.list())
			case 4:
				update := reader.Since(host.Revision())
				seen.take(t, host.Hear(&update))
			}
		}
		readers[0].Replace(s.list())
		update := readers[0].Since(host.Revision())
		seen.take(t, host.Hear(&update))
		require.Len(t, seen, len(s.entries))
		for key, entry := range s.entries {
			require.Equal(t, entry, seen[key])
		}
	})
}

// A reading that began before a change comes after it. It must not bring back what was
// deleted meanwhile, nor take away what was written.
func TestAnOlderReadingUndoesNothing(t *testing.T) {
	s := &service{
		entries: make(map[string]store.Entry),
	}
	s.write("stays", false)
	s.write("goes", false)
	old := s.list()
	s.write("goes", true)
	s.write("comes", false)
	var cache Cache
	cache.Apply(s.since(0))
	require.Empty(t, cache.Replace(old))
	require.Len(t, cache.entries, 2)
	require.Contains(t, cache.entries, "comes")
}

// Deletions are not remembered for ever: who knows less than they go back is told
// everything.
func TestWhoIsFarBehindIsToldEverything(t *testing.T) {
	s := &service{
		entries: make(map[string]store.Entry),
	}
	s.write("first", false)
	var cache, host Cache
	cache.Replace(s.list())
	update := cache.Since(0)
	host.Hear(&update)
	for i := range mostGone + 1 {
		s.write("k"+strconv.Itoa(i), false)
		s.write("k"+strconv.Itoa(i), true)
	}
	s.write("first", true)
	cache.Apply(s.since(cache.Revision()))
	require.LessOrEqual(t, len(cache.gone), mostGone)
	update = cache.Since(host.Revision())
	require.True(t, update.Complete)
	host.Hear(&update)
	require.Empty(t, host.entries)
}
