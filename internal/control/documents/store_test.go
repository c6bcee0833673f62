package documents

import (
	"strings"
	"time"

	"cicadaloom/internal/config/teamdoc"
	"cicadaloom/internal/domain/document"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/store"
	"cicadaloom/internal/domain/unit"
)

// fakeStore is an in-memory key-value service that behaves as its documentation says.
type fakeStore struct {
	isDown   bool
	revision ident.Revision
	entries  map[string]store.Entry
	versions []storedVersion
}

// storedVersion is a version of a document that was stored at some time.
type storedVersion struct {
	store.Entry
	version  Version
	document *document.Document
}

func newFakeStore() *fakeStore {
	return &fakeStore{
		entries: make(map[string]store.Entry),
	}
}

func (s *fakeStore) swap(swap store.Swap) store.SwapResult {
	result := store.SwapResult{
		Swapped: true,
	}
	for _, compare := range swap.Compares {
		entry := s.entries[compare.Key]
		entry.Key = compare.Key
		result.Swapped = result.Swapped && entry.Revision == compare.Revision
		result.Current = append(result.Current, entry)
	}
	if result.Swapped {
		s.revision++
		result.Current = nil
		for _, put := range swap.Puts {
			s.put(put)
		}
		for _, key := range swap.Deletes {
			delete(s.entries, key)
		}
	}
	result.Revision = s.revision
	return result
}

func (s *fakeStore) put(put store.Put) {
	entry := store.Entry{
		Key:      put.Key,
		Value:    put.Value,
		Revision: s.revision,
	}
	s.entries[put.Key] = entry
	if strings.HasPrefix(put.Key, Prefix) {
		decoded, doc, err := decodeStoredDocument(entry.Key, entry.Revision, entry.Value)
		if err != nil {
			panic(err)
		}
		s.versions = append(s.versions, storedVersion{
			Entry:    entry,
			version:  decoded.version,
			document: doc,
		})
	}
}

// list returns the documents as they were at a revision.
func (s *fakeStore) list(at ident.Revision) store.Listing {
	newest := make(map[string]store.Entry)
	for _, entry := range s.versions {
		if entry.Revision <= at {
			newest[entry.Key] = entry.Entry
		}
	}
	listing := store.Listing{
		Revision: at,
	}
	for _, entry := range newest {
		listing.Entries = append(listing.Entries, entry)
	}
	return listing
}

func documentText(team ident.TeamName, model string, memory unit.Bytes, replicas int) []byte {
	text, err := teamdoc.Write(&document.Document{
		Team: team,
		Classes: []document.Class{{
			Name:  "all",
			Share: 100,
		}},
		DefaultClass: "all",
		Models: []document.Model{{
			Name:        ident.ModelName(model),
			Version:     "1",
			Memory:      memory,
			Replicas:    replicas,
			MaxReplicas: replicas,
			Promise: document.Promise{
				FirstToken:    time.Second,
				BetweenTokens: time.Second,
			},
		}},
	})
	if err != nil {
		panic(err)
	}
	return text
}

var twoServers = []teamdoc.Server{
	{
		Name:   "gpu-1",
		Memory: 100,
	},
	{
		Name:   "gpu-2",
		Memory: 100,
	},
}
