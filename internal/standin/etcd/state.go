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

// historyBytes bounds the values that the history keeps, since a history of
// full pages would fill the memory long before it has its number of events.
const historyBytes = 64 * unit.Mebibyte

// state is what the service holds. It has no lock: Server guards it.
type state struct {
	valueLimit unit.Bytes
	// cluster tells this service from every other.
	cluster   uint64
	revision  int64
	keys      map[string]*mvccpb.KeyValue // replaced at each write, never changed
	leases    map[int64]*lease
	lastLease int64
	history   history
}

// lease is the state of a lease and the keys that go with it.
type lease struct {
	ttl     time.Duration
	expires time.Time
	keys    map[string]struct{}
}

func newState(events int, valueLimit unit.Bytes) *state {
	return &state{
		valueLimit: valueLimit,
		cluster:    rand.Uint64(),
		revision:   1, // that of an empty etcd
		keys:       map[string]*mvccpb.KeyValue{},
		leases:     map[int64]*lease{},
		history: history{
			limit: events,
		},
	}
}

func (s *state) header() *pb.ResponseHeader {
	return &pb.ResponseHeader{
		ClusterId: s.cluster,
		MemberId:  1,
		Revision:  s.revision,
		RaftTerm:  1,
	}
}

// keyRange is a request's key and range_end, with etcd's meanings: an empty end
// is the one key, an end of a zero byte is everything from the key on.
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

func (r keyRange) has(key string) bool {
	switch r.end {
	case "":
		return key == r.key
	case "\x00":
		return key >= r.key
	}
	return r.key <= key && key < r.end
}

// find returns the entries of a range in the order of their keys.
func (s *state) find(r keyRange) []*mvccpb.KeyValue {
	if r.end == "" {
		if kv, ok := s.keys[r.key]; ok {
			return []*mvccpb.KeyValue{kv}
		}
		return nil
	}
	var found []*mvccpb.KeyValue
	for key, kv := range s.keys {
		if r.has(key) {
			found = append(found, kv)
		}
	}
	sort.Slice(found, func(i, j int) bool { return string(found[i].Key) < string(found[j].Key) })
	return found
}

// put writes a value at a revision. The lease was checked before.
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
		s.detach(previous)
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

// remove deletes the entries of a range at a revision and returns them.
func (s *state) remove(r keyRange, revision int64) []*mvccpb.KeyValue {
	removed := s.find(r)
	for _, kv := range removed {
		s.detach(kv)
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

func (s *state) detach(kv *mvccpb.KeyValue) {
	if l, ok := s.leases[kv.Lease]; ok {
		delete(l.keys, string(kv.Key))
	}
}

// grant makes a lease; an id of zero asks for a new one.
func (s *state) grant(id int64, ttl time.Duration, now time.Time) (int64, error) {
	if _, ok := s.leases[id]; ok {
		return 0, errLeaseExists
	}
	if id == 0 {
		id = s.newLeaseID()
	}
	s.leases[id] = &lease{
		ttl:     ttl,
		expires: now.Add(ttl),
		keys:    map[string]struct{}{},
	}
	return id, nil
}

func (s *state) newLeaseID() int64 {
	for {
		s.lastLease++
		if _, ok := s.leases[s.lastLease]; !ok {
			return s.lastLease
		}
	}
}

// keep prolongs a lease and returns its length, zero where it is gone.
func (s *state) keep(id int64, now time.Time) time.Duration {
	l, ok := s.leases[id]
	if !ok {
		return 0
	}
	l.expires = now.Add(l.ttl)
	return l.ttl
}

// revoke ends a lease and deletes its keys, all at one revision.
func (s *state) revoke(id int64) bool {
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
		s.remove(keyRange{
			key: key,
		}, s.revision)
	}
	s.history.trim()
	return true
}

// lapse revokes all leases whose time has come and tells whether any had.
func (s *state) lapse(now time.Time) bool {
	return s.lapseWhere(func(l *lease) bool { return !now.Before(l.expires) })
}

func (s *state) lapseAll() {
	s.lapseWhere(func(*lease) bool { return true })
}

func (s *state) lapseWhere(over func(*lease) bool) bool {
	var ids []int64
	for id, l := range s.leases {
		if over(l) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		s.revoke(id)
	}
	return len(ids) > 0
}
