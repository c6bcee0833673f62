package streams

import (
	"context"
	"slices"
	"time"
)

// queueStored queues an own stream for the key-value service. If it accepts none for long, the
// oldest streams are dropped. The caller holds mu.
func (l *Ledger) queueStored(id ID, r *record) {
	if !l.mixed[r.origin.Service] || r.isStored {
		return
	}
	if len(l.unstored) >= maxStreams {
		l.unstored = slices.Delete(l.unstored, 0, maxStreams/2)
	}
	l.unstored = append(l.unstored, id)
}

// Unstored returns own streams whose origins the key-value service may not have, the newest first
// since their clients are the most likely to come back. What is not recorded as stored is returned
// again.
func (l *Ledger) Unstored(now time.Time, most int) []Stream {
	l.mu.Lock()
	defer l.mu.Unlock()
	var unstored []Stream
	var remaining []ID
	for len(l.unstored) > 0 && len(unstored) < most {
		last := len(l.unstored) - 1
		id := l.unstored[last]
		l.unstored = l.unstored[:last]
		r, known := l.streams[id]
		if !known || r.isStored || !l.mixed[r.origin.Service] || l.hasExpired(now, id) || slices.Contains(remaining, id) {
			continue
		}
		remaining = append(remaining, id)
		unstored = append(unstored, Stream{
			ID:     id,
			Origin: r.origin,
		})
	}
	slices.Reverse(remaining)
	l.unstored = append(l.unstored, remaining...)
	return unstored
}

// RecordStored records that the key-value service has the origins of streams.
func (l *Ledger) RecordStored(stored []Stream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range stored {
		r, known := l.streams[stored[i].ID]
		if known && r.origin == stored[i].Origin {
			r.isStored = true
		}
	}
	if l.storedMore != nil {
		close(l.storedMore)
		l.storedMore = nil
	}
}

// AwaitStored waits until the key-value service has the origin of an own stream, if it has to. It
// returns false if the context ended before.
func (l *Ledger) AwaitStored(ctx context.Context, id ID) bool {
	for {
		more := l.awaitsStored(id)
		if more == nil {
			return true
		}
		select {
		case <-more:
		case <-ctx.Done():
			return false
		}
	}
}

// awaitsStored returns a channel that is closed when more origins are stored, nil if that of a
// stream is stored or need not be.
func (l *Ledger) awaitsStored(id ID) <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, known := l.streams[id]
	if !known || r.isStored || !l.mixed[r.origin.Service] {
		return nil
	}
	if l.storedMore == nil {
		l.storedMore = make(chan struct{})
	}
	return l.storedMore
}

// ConcludeStored returns the origin of a stream from those that the key-value service has for it.
// Hosts may have written two, the older one with a build that turned out to be wrong, and writes
// may take effect in any order. The second result is false if there are none.
func ConcludeStored(stored []Origin) (Origin, bool) {
	if len(stored) == 0 {
		return Origin{}, false
	}
	origin := stored[0]
	for i := range stored {
		if stored[i].Service != origin.Service || stored[i].Build != origin.Build {
			origin.Build = UnknownBuild
		}
	}
	return origin, true
}
