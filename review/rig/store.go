// Package rig has the stand-ins that the review's scripts share: the platform's metadata
// store, backend servers whose connections a script controls, and the entry hosts as
// processes.
//
// # Usage
//
//	platform, err := rig.StartStore()
//	host, err := rig.StartHost(rig.HostOptions{
//		Name:  "front-a-1",
//		Store: platform.Address,
//	})
//	defer host.Kill()
package rig

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// item is one key of the store, as it is written on the wire.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"create_rev"`
	Lease    int64  `json:"lease"`
}

// change is one event of a watch.
type change struct {
	item
	Deleted bool `json:"deleted,omitempty"`
}

// Store is the platform's metadata store.
type Store struct {
	// Address is where the store answers.
	Address string

	mu       sync.Mutex
	revision int64
	items    map[string]item
	history  []change
	leases   map[int64]*lease
	changed  chan struct{}
	server   *http.Server
}

type lease struct {
	duration  time.Duration
	expiresAt time.Time
}

// firstRevision is above 0, as the store's revisions begin.
const firstRevision = 100

// leaseSweepInterval is how often expired leases are looked for.
const leaseSweepInterval = 20 * time.Millisecond

// StartStore starts a store at a free port.
func StartStore() (*Store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	s := &Store{
		Address:  listener.Addr().String(),
		revision: firstRevision,
		items:    make(map[string]item),
		leases:   make(map[int64]*lease),
		changed:  make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /cicadaloom/kv-key", s.serveKey)
	mux.HandleFunc("GET /cicadaloom/kv-range", s.serveRange)
	mux.HandleFunc("GET /cicadaloom/kv-watch", s.serveWatch)
	mux.HandleFunc("POST /cicadaloom/kv-txn", s.serveTransaction)
	mux.HandleFunc("POST /cicadaloom/kv-lease", s.serveLease)
	mux.HandleFunc("POST /cicadaloom/kv-keep/{id}", s.serveKeep)
	mux.HandleFunc("DELETE /cicadaloom/kv-lease-end/{id}", s.serveLeaseEnd)
	s.server = &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: 10 * time.Second,
	}
	go func() { _ = s.server.Serve(listener) }() // it ends with Close
	go s.expireLeases()
	return s, nil
}

// Close stops the store.
func (s *Store) Close() {
	_ = s.server.Close()
}

// Put writes a key as the operator or a server does.
func (s *Store) Put(key string, value any) error {
	encoded, err := json.Marshal(value)
	if err != nil {
		return errors.Wrap(err, "encode")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.put(key, encoded, 0)
	s.announce()
	return nil
}

// Delete removes a key as the store does for a server that has left.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.delete(key)
	s.announce()
}

// Value returns a key's value, empty if there is none.
func (s *Store) Value(key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return string(s.items[key].Value)
}

// put writes a key at the current revision. The caller holds mu.
func (s *Store) put(key string, value []byte, leaseID int64) {
	written := item{
		Key:      key,
		Value:    value,
		Revision: s.revision,
		Created:  s.revision,
		Lease:    leaseID,
	}
	if before, known := s.items[key]; known {
		written.Created = before.Created
	}
	s.items[key] = written
	s.history = append(s.history, change{
		item: written,
	})
}

// delete removes a key at the current revision. The caller holds mu.
func (s *Store) delete(key string) {
	if _, known := s.items[key]; !known {
		return
	}
	delete(s.items, key)
	s.history = append(s.history, change{
		item: item{
			Key:      key,
			Revision: s.revision,
		},
		Deleted: true,
	})
}

// announce wakes the watches. The caller holds mu.
func (s *Store) announce() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) expireLeases() {
	for {
		time.Sleep(leaseSweepInterval)
		s.mu.Lock()
		now := time.Now()
		for id, l := range s.leases {
			if now.After(l.expiresAt) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

// endLease ends a lease and removes its keys. The caller holds mu.
func (s *Store) endLease(id int64) {
	delete(s.leases, id)
	var keys []string
	for key, it := range s.items {
		if it.Lease == id {
			keys = append(keys, key)
		}
	}
	if len(keys) == 0 {
		return
	}
	s.revision++
	for _, key := range keys {
		s.delete(key)
	}
	s.announce()
}

func (s *Store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, known := s.items[r.URL.Query().Get("key")]
	if !known {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, struct {
		item
		StoreRevision int64 `json:"store_revision"`
	}{
		item:          it,
		StoreRevision: s.revision,
	})
}

func (s *Store) serveRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	found := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, it)
		}
	}
	slices.SortFunc(found, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	reply(w, http.StatusOK, map[string]any{
		"items":          found,
		"has_more":       false,
		"store_revision": s.revision,
	})
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	waitMillis, _ := strconv.ParseInt(query.Get("wait_ms"), 10, 64)
	timer := time.NewTimer(time.Duration(waitMillis) * time.Millisecond)
	defer timer.Stop()
	for isOver := false; ; {
		s.mu.Lock()
		events := s.changesAfter(query.Get("prefix"), after)
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || isOver {
			reply(w, http.StatusOK, map[string]any{
				"events":         events,
				"store_revision": revision,
			})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			isOver = true
		case <-r.Context().Done():
			return
		}
	}
}

// changesAfter returns the changes below a prefix. The caller holds mu.
func (s *Store) changesAfter(prefix string, after int64) []change {
	events := []change{}
	for i := range s.history {
		if s.history[i].Revision > after && strings.HasPrefix(s.history[i].Key, prefix) {
			events = append(events, s.history[i])
		}
	}
	return events
}

type transaction struct {
	Conditions []struct {
		Key      string `json:"key"`
		Revision int64  `json:"revision"`
	} `json:"precondition"`
	Puts []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease int64  `json:"lease"`
	} `json:"puts"`
	Deletes []string `json:"deletes"`
}

func (s *Store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, holds := []item{}, true
	for _, condition := range t.Conditions {
		it, known := s.items[condition.Key]
		holds = holds && it.Revision == condition.Revision
		if known {
			current = append(current, it)
		}
	}
	if !holds {
		reply(w, http.StatusPreconditionFailed, map[string]any{
			"items": current,
		})
		return
	}
	for _, put := range t.Puts {
		if _, known := s.leases[put.Lease]; put.Lease != 0 && !known {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	s.revision++
	for _, put := range t.Puts {
		s.put(put.Key, put.Value, put.Lease)
	}
	for _, key := range t.Deletes {
		s.delete(key)
	}
	s.announce()
	reply(w, http.StatusOK, map[string]any{
		"revision": s.revision,
	})
}

func (s *Store) serveLease(w http.ResponseWriter, r *http.Request) {
	var asked struct {
		Millis float64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&asked); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	duration := time.Duration(max(asked.Millis, 1000)) * time.Millisecond
	s.leases[s.revision] = &lease{
		duration:  duration,
		expiresAt: time.Now().Add(duration),
	}
	reply(w, http.StatusOK, map[string]any{
		"lease":  s.revision,
		"ttl_ms": duration.Milliseconds(),
	})
}

func (s *Store) serveKeep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l, known := s.leases[id]
	if !known {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.expiresAt = time.Now().Add(l.duration)
	reply(w, http.StatusOK, map[string]any{
		"ttl_ms": l.duration.Milliseconds(),
	})
}

func (s *Store) serveLeaseEnd(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.leases[id]; !known {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.endLease(id)
	w.WriteHeader(http.StatusOK)
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // an error means that the caller has left
}
