package streams

import (
	"slices"
	"time"

	"cicadaloom/internal/domain/ident"
)

// keeperBackoff is how long a keeper that did not answer gets no deliveries.
const keeperBackoff = time.Second

// Delivery lists the streams whose origins are to be sent to one keeper.
type Delivery struct {
	Keeper  Host
	Streams []Stream
}

// Deliveries returns what is to be sent now, at most one delivery for each keeper. What is
// not recorded as delivered is returned again.
func (l *Ledger) Deliveries(now time.Time) []Delivery {
	l.mu.Lock()
	defer l.mu.Unlock()
	var deliveries []Delivery
	index := make(map[ident.HostID]int)
	l.pending = slices.DeleteFunc(l.pending, func(id ID) bool {
		missing := l.missingKeepers(now, id)
		for _, keeper := range missing {
			if now.Before(l.blockedUntil[keeper.Name]) {
				continue
			}
			at, known := index[keeper.Name]
			if !known {
				at = len(deliveries)
				index[keeper.Name] = at
				deliveries = append(deliveries, Delivery{
					Keeper: keeper,
				})
			}
			deliveries[at].Streams = append(deliveries[at].Streams, Stream{
				ID:     id,
				Origin: l.streams[id].origin,
			})
		}
		return len(missing) == 0
	})
	return deliveries
}

// missingKeepers returns the keepers that don't have an own stream's origin yet. The caller
// holds mu.
func (l *Ledger) missingKeepers(now time.Time, id ID) []Host {
	r, known := l.streams[id]
	if !known || !l.mixed[r.origin.Service] || l.hasExpired(now, id) {
		return nil
	}
	var missing []Host
	for _, keeper := range l.keepers.of(id) {
		if !slices.Contains(r.keptBy, keeper.key()) {
			missing = append(missing, keeper)
		}
	}
	return missing
}

// HasPending reports whether some origin may have to be sent.
func (l *Ledger) HasPending() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.pending) > 0
}

// RecordDelivered records that a keeper has received a delivery.
func (l *Ledger) RecordDelivered(delivery *Delivery) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := delivery.Keeper.key()
	for i := range delivery.Streams {
		delivered := &delivery.Streams[i]
		r, known := l.streams[delivered.ID]
		if known && r.origin == delivered.Origin && !slices.Contains(r.keptBy, key) {
			r.keptBy = append(r.keptBy, key)
		}
	}
}

// RecordFailed records that a keeper did not answer.
func (l *Ledger) RecordFailed(now time.Time, keeper ident.HostID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.blockedUntil == nil {
		l.blockedUntil = make(map[ident.HostID]time.Time)
	}
	l.blockedUntil[keeper] = now.Add(keeperBackoff)
}
