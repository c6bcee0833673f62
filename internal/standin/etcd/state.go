package etcd

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"cicadaloom/internal/domain/unit"
	pb "cicadaloom/internal/wire/etcdserverpb"
	"cicadaloom/internal/wire/mvccpb"
)

// maxHistoryBytes bounds the size of the events in the history: events with values
// of the largest size would fill the memory long before their number reaches the
// limit.
const maxHistoryBytes = 64 * unit.Mebibyte

// state is the contents of the service. Server's mutex guards it.
type state struct {
	valueLimit unit.Bytes
	// clusterID distinguishes this service from others.
	clusterID   uint64
	revision    int64
	keys        map[string]*mvccpb.KeyValue // an entry is replaced at each write, never modified
	leases      map[int64]*lease
	lastLeaseID int64
	history     history
}

// lease is a lease with the keys that are attached to it.
type lease struct {
	ttl       time.Duration
	expiresAt time.Time
	keys      map[string]struct{}
}

func newState(events int, valueLimit unit.Bytes) *state {
	return &state{
		valueLimit: valueLimit,
		clusterID:  rand.Uint64(),
		revision:   1, // as in an empty etcd
		keys:       map[string]*mvccpb.KeyValue{},
		leases:     map[int64]*lease{},
		history: history{
			maxEvents: events,
		},
	}
}

func (s *state) header() *pb.ResponseHeader {
	return &pb.ResponseHeader{
		ClusterId: s.clusterID,
		MemberId:  1,
		Revision:  s.revision,
		RaftTerm:  1,
	}
}

// keyRange is a request's key and range_end, with etcd's meaning: an empty end
// selects the one key, an end of one zero byte selects all keys from key on.
type keyRange struct {
	key string
	end string
}

func newKeyRange(key, end []byte) keyRange {
	return keyRange{
		key: string(key),
		end: string(end),
	}
}

func (r keyRange) contains(key string) bool {
	switch r.end {
	case "":
		return key == r.key
	case "\x00":
		return key >= r.key
	}
	return r.key <= key && key < r.end
}

// findRange returns the entries of a key range, sorted by key.
func (s *state) findRange(r keyRange) []*mvccpb.KeyValue {
	if r.end == "" {
		if kv, ok := s.keys[r.key]; ok {
			return []*mvccpb.KeyValue{kv}
		}
		return nil
	}
	var found []*mvccpb.KeyValue
	for key, kv := range s.keys {
		if r.contains(key) {
			found = append(found, kv)
		}
	}
	sort.Slice(found, func(i, j int) bool { return string(found[i].Key) < string(found[j].Key) })
	return found
}

// put writes a value at a revision. The caller has checked that the lease exists.
func (s *state) put(request *pb.PutRequest, revision int64) *mvccpb.KeyValue {
	key := string(request.Key)
	previous := s.keys[key]
	kv := &mvccpb.KeyValue{
		Key:            request.Key,
		Value:          request.Value,
		CreateRevision: revision,
		ModRevision:    revision,
		Version:        1,
		Lease:          request.Lease,
	}
	if previous != nil {
		kv.CreateRevision = previous.CreateRevision
		kv.Version = previous.Version + 1
		s.detachFromLease(previous)
	}
	s.keys[key] = kv
	if l, ok := s.leases[request.Lease]; ok {
		l.keys[key] = struct{}{}
	}
	s.history.add(&mvccpb.Event{
		Type: mvccpb.Event_PUT,
		Kv:   kv,
	})
	return previous
}

// deleteRange deletes the entries of a key range at a revision and returns them.
func (s *state) deleteRange(r keyRange, revision int64) []*mvccpb.KeyValue {
	removed := s.findRange(r)
	for _, kv := range removed {
		s.detachFromLease(kv)
		delete(s.keys, string(kv.Key))
		s.history.add(&mvccpb.Event{
			Type: mvccpb.Event_DELETE,
			Kv: &mvccpb.KeyValue{
				Key:         kv.Key,
				ModRevision: revision,
			},
		})
	}
	return removed
}

func (s *state) detachFromLease(kv *mvccpb.KeyValue) {
	if l, ok := s.leases[kv.Lease]; ok {
		delete(l.keys, string(kv.Key))
	}
}

// grantLease creates a lease. An id of zero requests a new id.
func (s *state) grantLease(id int64, ttl time.Duration, now time.Time) (int64, error) {
	if _, ok := s.leases[id]; ok {
		return 0, errLeaseExists
	}
	if id == 0 {
		id = s.newLeaseID()
	}
	s.leases[id] = &lease{
		ttl:       ttl,
		expiresAt: now.Add(ttl),
		keys:      map[string]struct{}{},
	}
	return id, nil
}

func (s *state) newLeaseID() int64 {
	for {
		s.lastLeaseID++
		if _, ok := s.leases[s.lastLeaseID]; !ok {
			return s.lastLeaseID
		}
	}
}

// renewLease renews a lease and returns its TTL, zero if the lease does not exist.
func (s *state) renewLease(id int64, now time.Time) time.Duration {
	l, ok := s.leases[id]
	if !ok {
		return 0
	}
	l.expiresAt = now.Add(l.ttl)
	return l.ttl
}

// revokeLease removes a lease and deletes its keys, all at one revision. It
// reports whether the lease existed.
func (s *state) revokeLease(id int64) bool {
	l, ok := s.leases[id]
	if !ok {
		return false
	}
	delete(s.leases, id)
	if len(l.keys) == 0 {
		return true
	}
	s.revision++
	keys := make([]string, 0, len(l.keys))
	for key := range l.keys {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	for _, key := range keys {
		s.deleteRange(keyRange{
			key: key,
		}, s.revision)
	}
	s.history.trim()
	return true
}

// expireLeases revokes all expired leases and reports whether there were any.
func (s *state) expireLeases(now time.Time) bool {
	return s.expireWhere(func(l *lease) bool { return !now.Before(l.expiresAt) })
}

func (s *state) expireAllLeases() {
	s.expireWhere(func(*lease) bool { return true })
}

func (s *state) expireWhere(isExpired func(*lease) bool) bool {
	var ids []int64
	for id, l := range s.leases {
		if isExpired(l) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		s.revokeLease(id)
	}
	return len(ids) > 0
}
