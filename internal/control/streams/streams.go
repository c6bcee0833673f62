// Package streams finds the build of a service's software that began a stream, so that a client
// may resume its stream at any entry host.
//
// Parts of one stream fit together only if servers of one build wrote them. A client that resumes
// a stream names the request whose answer began it, and nothing else about it. While servers
// of several builds serve, each host therefore sends the origins of its streams to their
// keepers: three hosts that follow from the request's id, in different data centres if there
// are as many. The host that a client comes to asks the same three. Hosts also write origins to the
// key-value service, which is read where no keeper knows a stream: all hosts may have been
// restarted. While all servers run one build nothing is sent: the build follows from that.
//
// A Ledger stores the origins that a host knows: of its own streams, and of those that it keeps for
// others. It also lists what is yet to be sent to which keeper, or to be stored. View and Conclude
// decide what follows where a stream's origin is not known; a view counts only if it is confirmed, or
// if a keeper answers. A History has the builds that served before a host started.
//
// # Usage
//
//	ledger := streams.Ledger{
//		Own: "front-brest-a-1",
//	}
//	ledger.SetHosts(hosts)
//	ledger.SetMixed("brief-models", true)
//	ledger.Add(now, streams.IDOf(request.ID), "i-7f3a91c2", streams.Origin{
//		Service:   "brief-models",
//		Build:     "v1.1",
//		ExpiresAt: request.Deadline,
//	})
//	for _, delivery := range ledger.Deliveries(now) {
//		// send delivery.Streams to delivery.Keeper
//		ledger.RecordDelivered(&delivery)
//	}
//	...
//	origin, known := ledger.Find(now, streams.IDOf(request.ResumedRequest))
//
// # What is lost
//
// A stream's origin is forgotten if its host is lost within the time between two deliveries, or if
// its host and all its keepers are lost and the key-value service did not accept it. While several
// builds serve, such a stream can't go on.
//
// Nothing here starts goroutines. A Ledger is safe for concurrent use.
package streams

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"cicadaloom/internal/domain/ident"
)

const (
	// Retention is how long an origin is kept after its client's deadline, and how long a build
	// counts after its last server has left: a client may come back late.
	Retention = time.Minute
	// maxStreams bounds the origins in a Ledger. If there are more, the oldest are dropped.
	maxStreams = 1 << 16
	// entryDelay is how long the change of a server's entry may take to reach this host.
	entryDelay = 2 * time.Second
)

// ID identifies a stream by the request whose answer began it.
type ID uint64

// IDOf returns the id of the stream that the answer to a request begins.
func IDOf(request ident.RequestID) ID {
	return ID(xxhash.Sum64String(string(request)))
}

// Origin is where a stream began.
type Origin struct {
	Service ident.ServiceName
	Build   ident.Build
	// ExpiresAt is when the client stops waiting for the stream.
	ExpiresAt time.Time
}

// UnknownBuild stands for the build of a stream of which it can't be known. No server runs it.
const UnknownBuild ident.Build = "(unknown)"

// Stream is a stream with its origin.
type Stream struct {
	ID ID
	Origin
}

// Ledger stores the origins of streams that a host knows. The zero value is empty, and knows no
// hosts.
type Ledger struct {
	// Own is the host itself, which is no keeper of its own streams.
	Own     ident.HostID
	mu      sync.Mutex
	streams map[ID]*record
	// order lists the ids, the oldest first.
	order   []ID
	keepers keeperChoice
	// mixed are the services whose servers run, or lately ran, several builds.
	mixed map[ident.ServiceName]bool
	// pending are own streams that some keeper may not have yet, unstored those that the
	// key-value service may not have.
	pending  []ID
	unstored []ID
	// storedMore is closed when more origins are stored; nil while nobody waits for that.
	storedMore chan struct{}
	// blockedUntil is until when a keeper that did not answer gets no deliveries.
	blockedUntil map[ident.HostID]time.Time
}

// record is a stream in a Ledger.
type record struct {
	origin Origin
	// isOwn is whether this host has served the stream, server the one that wrote its events since
	// an instant. keptBy lists the keepers that have received the origin.
	isOwn  bool
	server ident.ServerName
	since  time.Time
	keptBy []keeperKey
	// isStored is whether the key-value service has the origin.
	isStored bool
}

// SetHosts replaces the known hosts. Own streams are sent to keepers that are new or have
// started again.
func (l *Ledger) SetHosts(hosts []Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.keepers.set(hosts, l.Own) {
		return
	}
	l.pending = nil
	for id, r := range l.streams {
		if r.isOwn {
			l.queue(id, r)
		}
	}
}

// SetMixed says whether a service's servers run, or lately ran, several builds: its streams are
// sent to their keepers then, those too that began before.
func (l *Ledger) SetMixed(service ident.ServiceName, mixed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.mixed[service] == mixed {
		return
	}
	if !mixed {
		delete(l.mixed, service)
		return
	}
	if l.mixed == nil {
		l.mixed = make(map[ident.ServiceName]bool)
	}
	l.mixed[service] = true
	var own []ID
	for id, r := range l.streams {
		if r.isOwn && r.origin.Service == service {
			own = append(own, id)
		}
	}
	slices.SortFunc(own, func(a, b ID) int { return l.streams[a].since.Compare(l.streams[b].since) })
	for _, id := range own {
		l.queue(id, l.streams[id])
		l.queueStored(id, l.streams[id])
	}
}

// IsMixed reports whether a service's servers run, or lately ran, several builds.
func (l *Ledger) IsMixed(service ident.ServiceName) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.mixed[service]
}

// queue queues an own stream for its keepers. The caller holds mu.
func (l *Ledger) queue(id ID, r *record) {
	if l.mixed[r.origin.Service] {
		l.pending = append(l.pending, id)
	}
}

// Add records the origin of a stream that this host serves from a server. It reports whether the
// origin is to be sent to keepers.
func (l *Ledger) Add(now time.Time, id ID, server ident.ServerName, origin Origin) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.put(now, id, origin)
	r.isOwn = true
	r.server, r.since = server, now
	l.queue(id, r)
	l.queueStored(id, r)
	return l.mixed[origin.Service]
}

// Invalidate withdraws the builds of own streams from a server that turns out to have started again
// with other software: those that began before its entry had reached this host may be of either.
func (l *Ledger) Invalidate(now time.Time, server ident.ServerName) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, r := range l.streams {
		if r.isOwn && r.server == server && now.Sub(r.since) < entryDelay {
			r.origin.Build = UnknownBuild
			r.keptBy, r.isStored = nil, false
			l.queue(id, r)
			l.queueStored(id, r)
		}
	}
}

// Keep records the origins of other hosts' streams.
func (l *Ledger) Keep(now time.Time, kept []Stream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range kept {
		l.put(now, kept[i].ID, kept[i].Origin)
	}
}

// put stores an origin. The caller holds mu.
func (l *Ledger) put(now time.Time, id ID, origin Origin) *record {
	r, known := l.streams[id]
	if known && r.origin.Service == origin.Service && r.origin.Build == origin.Build {
		if origin.ExpiresAt.After(r.origin.ExpiresAt) {
			r.origin.ExpiresAt = origin.ExpiresAt
			r.keptBy, r.isStored = nil, false
		}
		return r
	}
	l.makeRoom(now)
	if !known {
		l.order = append(l.order, id)
	}
	r = &record{
		origin: origin,
	}
	if l.streams == nil {
		l.streams = make(map[ID]*record)
	}
	l.streams[id] = r
	return r
}

// makeRoom drops origins that have expired, and the oldest one if there are too many.
func (l *Ledger) makeRoom(now time.Time) {
	dropped := 0
	for dropped < len(l.order) && (len(l.streams) >= maxStreams || l.hasExpired(now, l.order[dropped])) {
		delete(l.streams, l.order[dropped])
		dropped++
	}
	l.order = l.order[dropped:]
}

func (l *Ledger) hasExpired(now time.Time, id ID) bool {
	return now.Sub(l.streams[id].origin.ExpiresAt) > Retention
}

// Find returns the origin of a stream.
func (l *Ledger) Find(now time.Time, id ID) (Origin, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, known := l.streams[id]
	if !known || l.hasExpired(now, id) {
		return Origin{}, false
	}
	return r.origin, true
}

// Len returns the number of origins.
func (l *Ledger) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.streams)
}

// Keepers returns the other hosts that keep the origin of a stream.
func (l *Ledger) Keepers(id ID) []Host {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.keepers.of(id))
}
