package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store as the pages describe it.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"create_rev,omitempty"`
	Lease    int64  `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type lease struct {
	length time.Duration
	endsAt time.Time
}

// store is a stand-in of the platform's metadata store. It answers after latency.
type store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]item
	history  []item
	leases   map[int64]*lease
	next     int64
	// changed is closed at each change.
	changed chan struct{}
	// followers are the hosts that have lately followed the servers' entries, and when.
	followers map[string]time.Time
	mux       *http.ServeMux
	doors     []*http.Server
	// isSilent tells that the store answers nothing, outages how often it has fallen silent. Calls of that
	// time get no answer later either.
	isSilent bool
	outages  int
}

const (
	firstRevision = 100
	// storeLatency is how long an answer takes: 4 ms, and 30 ms each way from the other region.
	storeLatency = 64 * time.Millisecond
)

func startStore() *store {
	s := &store{
		revision: firstRevision,
		items:    make(map[string]item),
		leases:   make(map[int64]*lease),
		next:     firstRevision,
		changed:  make(chan struct{}),
		mux:      http.NewServeMux(),

		followers: make(map[string]time.Time),
	}
	mux := s.mux
	mux.HandleFunc("GET /cicadaloom/kv-key", s.serveKey)
	mux.HandleFunc("GET /cicadaloom/kv-range", s.serveRange)
	mux.HandleFunc("GET /cicadaloom/kv-watch", s.serveWatch)
	mux.HandleFunc("POST /cicadaloom/kv-txn", s.serveTransaction)
	mux.HandleFunc("POST /cicadaloom/kv-lease", s.serveLease)
	mux.HandleFunc("POST /cicadaloom/kv-keep/{id}", s.serveKeep)
	mux.HandleFunc("DELETE /cicadaloom/kv-lease-end/{id}", s.serveLeaseEnd)
	go s.expireLeases()
	return s
}

// door returns an address of the store for one host.
func (s *store) door(host string) string {
	listener := listen()
	server := &http.Server{
		ReadHeaderTimeout: time.Minute,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(storeLatency)
			if silent, _ := s.silence(); silent {
				<-r.Context().Done()
				return
			}
			if r.URL.Path == "/cicadaloom/kv-watch" && r.URL.Query().Get("prefix") != "op/config" {
				s.mu.Lock()
				s.followers[host] = time.Now()
				s.mu.Unlock()
			}
			s.mux.ServeHTTP(w, r)
		}),
	}
	go func() { _ = server.Serve(listener) }()
	s.mu.Lock()
	s.doors = append(s.doors, server)
	s.mu.Unlock()
	return listener.Addr().String()
}

// followersSince returns the hosts that have begun a watch of the servers' entries since an instant.
func (s *store) followersSince(since time.Time) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []string
	for host, at := range s.followers {
		if at.After(since) {
			found = append(found, host)
		}
	}
	sort.Strings(found)
	return found
}

// setSilent begins or ends an outage in which the store answers nothing.
func (s *store) setSilent(isSilent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isSilent = isSilent
	if isSilent {
		s.outages++
	}
}

// silence returns whether the store is silent, and how often it has fallen silent.
func (s *store) silence() (bool, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isSilent, s.outages
}

func (s *store) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, server := range s.doors {
		_ = server.Close()
	}
}

// put writes a key as the operator or a server does, and returns the revision.
func (s *store) put(key string, value any) int64 {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(key, text, 0)
	s.announce()
	return s.revision
}

// remove deletes a key.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.delete(key)
	s.announce()
}

// write needs mu.
func (s *store) write(key string, value []byte, leaseID int64) {
	created := s.revision
	if known, found := s.items[key]; found {
		created = known.Created
	}
	written := item{
		Key:      key,
		Value:    value,
		Revision: s.revision,
		Created:  created,
		Lease:    leaseID,
	}
	s.items[key] = written
	s.history = append(s.history, written)
}

// delete needs mu.
func (s *store) delete(key string) {
	if _, found := s.items[key]; !found {
		return
	}
	delete(s.items, key)
	s.history = append(s.history, item{
		Key:      key,
		Revision: s.revision,
		Deleted:  true,
	})
}

// announce needs mu.
func (s *store) announce() {
	close(s.changed)
	s.changed = make(chan struct{})
}

const leaseCheckInterval = 20 * time.Millisecond

func (s *store) expireLeases() {
	for {
		time.Sleep(leaseCheckInterval)
		s.mu.Lock()
		for id, l := range s.leases {
			if time.Now().After(l.endsAt) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

// endLease needs mu.
func (s *store) endLease(id int64) {
	delete(s.leases, id)
	s.revision++
	for key, held := range s.items {
		if held.Lease == id {
			s.delete(key)
		}
	}
	s.announce()
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails only if the caller has left
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found, known := s.items[r.URL.Query().Get("key")]
	if !known {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, map[string]any{
		"key": found.Key, "value": found.Value, "revision": found.Revision, "create_rev": found.Created, "lease": found.Lease, "store_revision": s.revision,
	})
}

const pageItems = 500

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	page := []item{}
	for key, found := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			page = append(page, found)
		}
	}
	sort.Slice(page, func(i, j int) bool { return page[i].Key < page[j].Key })
	hasMore := len(page) > pageItems
	reply(w, http.StatusOK, map[string]any{
		"items": page[:min(len(page), pageItems)], "has_more": hasMore, "store_revision": s.revision,
	})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	isOver := false
	_, began := s.silence()
	for {
		s.mu.Lock()
		events := []item{}
		for _, event := range s.history {
			if event.Revision > after && strings.HasPrefix(event.Key, prefix) {
				events = append(events, event)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if _, outages := s.silence(); outages != began {
			<-r.Context().Done()
			return
		}
		if len(events) > 0 || isOver {
			reply(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			isOver = true
		case <-r.Context().Done():
			return
		}
	}
}

type condition struct {
	Key      string `json:"key"`
	Revision int64  `json:"revision"`
}

type transaction struct {
	Conditions []condition `json:"precondition"`
	Puts       []item      `json:"puts"`
	Deletes    []string    `json:"deletes"`
}

func (s *store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var wanted transaction
	if err := json.NewDecoder(r.Body).Decode(&wanted); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	holds := true
	current := []item{}
	for _, c := range wanted.Conditions {
		found, known := s.items[c.Key]
		if known {
			current = append(current, found)
		}
		holds = holds && found.Revision == c.Revision
	}
	if !holds {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, put := range wanted.Puts {
		if _, known := s.leases[put.Lease]; put.Lease != 0 && !known {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	s.revision++
	for _, put := range wanted.Puts {
		s.write(put.Key, put.Value, put.Lease)
	}
	for _, key := range wanted.Deletes {
		s.delete(key)
	}
	s.announce()
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) serveLease(w http.ResponseWriter, r *http.Request) {
	var wanted struct {
		Length int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&wanted); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next++
	granted := &lease{
		length: time.Duration(wanted.Length) * time.Millisecond,
	}
	granted.endsAt = time.Now().Add(granted.length)
	s.leases[s.next] = granted
	reply(w, http.StatusOK, map[string]any{"lease": s.next, "ttl_ms": wanted.Length})
}

func (s *store) serveKeep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	renewed, known := s.leases[id]
	if !known {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	renewed.endsAt = time.Now().Add(renewed.length)
	reply(w, http.StatusOK, map[string]any{"ttl_ms": renewed.length.Milliseconds()})
}

func (s *store) serveLeaseEnd(w http.ResponseWriter, r *http.Request) {
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
