package gateway

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"cicadaloom/internal/control/streams"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/store"
)

const (
	// originsBurstInterval is between two writes in a small fleet if more origins wait than one
	// can have.
	originsBurstInterval = 100 * time.Millisecond
	// originHoldTime is for how long a stream's first event is held until its origin is stored.
	originHoldTime = 150 * time.Millisecond
	// maxStoredOrigins is how many origins one write has: the service's limit.
	maxStoredOrigins = 32
	// originsTimeout bounds one call.
	originsTimeout = 700 * time.Millisecond
	// originsLeaseReuse is for how long one lease is used for new origins.
	originsLeaseReuse = time.Minute
	// maxOriginsLease is the longest lease that the service grants.
	maxOriginsLease = 10 * time.Minute
	// maxOriginReads bounds the concurrent reads of origins.
	maxOriginReads = 32
)

// originEntry is an entry that has the origin of a stream. Streams have an entry for each build that
// a host has taken for theirs.
type originEntry struct {
	Service string
	Build   string
}

// originsPrefix is the prefix of the entries of one stream.
func (l *Layout) originsPrefix(id streams.ID) string {
	return l.OriginPrefix + strconv.FormatUint(uint64(id), 16) + "/"
}

// originKey is the key of the entry of a stream with an origin.
func (l *Layout) originKey(id streams.ID, value []byte) string {
	return l.originsPrefix(id) + strconv.FormatUint(xxhash.Sum64(value), 16)
}

// originsLease is the lease of the origins that a host writes.
type originsLease struct {
	id     store.LeaseID
	endsAt time.Time
}

// runOriginWrites writes origins of streams to the key-value service while there are any to write.
func (g *Gateway) runOriginWrites() error {
	var lease originsLease
	for g.tomb.Alive() {
		unstored := g.streams.ledger.Unstored(time.Now(), maxStoredOrigins)
		if len(unstored) == 0 {
			select {
			case <-g.streams.unstored:
			case <-g.tomb.Dying():
			}
			continue
		}
		err := g.writeOrigins(&lease, unstored)
		g.streams.isStoreFailing.Store(err != nil)
		if err != nil {
			g.log.Debug("origins of streams not stored", zap.Int("Streams", len(unstored)), zap.Error(err))
			g.streams.storeFailures.Inc()
			g.sleep(g.stretchByFleet(maxRetryDelay))
			continue
		}
		g.streams.ledger.RecordStored(unstored)
		g.streams.stored.Add(len(unstored))
		if len(unstored) == maxStoredOrigins {
			g.sleepUnless(g.stretchByFleet(originsBurstInterval), g.streams.unstored) // a new stream waits for its write
		}
	}
	return nil
}

// AwaitStored implements relay.ControlPlane. While the key-value service fails it doesn't wait.
func (g *Gateway) AwaitStored(ctx context.Context, began ident.RequestID) {
	if g.streams.isStoreFailing.Load() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, originHoldTime)
	defer cancel()
	if !g.streams.ledger.AwaitStored(ctx, streams.IDOf(began)) {
		g.log.Debug("stream begins before its origin is stored", zap.String("Request", string(began)))
	}
}

func (g *Gateway) writeOrigins(lease *originsLease, unstored []streams.Stream) error {
	ctx, cancel := context.WithTimeout(g.context(), originsTimeout)
	defer cancel()
	now := time.Now()
	latest := now
	for i := range unstored {
		if unstored[i].ExpiresAt.After(latest) {
			latest = unstored[i].ExpiresAt
		}
	}
	if err := g.extendOriginsLease(ctx, lease, now, latest.Add(streams.Retention)); err != nil {
		return err
	}
	var swap store.Swap
	for i := range unstored {
		value, err := json.Marshal(originEntry{
			Service: string(unstored[i].Service),
			Build:   string(unstored[i].Build),
		})
		if err != nil {
			return errors.Wrap(err, "encode a stream's origin")
		}
		swap.Puts = append(swap.Puts, store.Put{
			Key:   g.options.Layout.originKey(unstored[i].ID, value),
			Value: value,
			Lease: lease.id,
		})
	}
	_, err := g.options.KeyValue.Swap(ctx, swap)
	if errors.Is(err, store.ErrLeaseGone) {
		*lease = originsLease{}
	}
	return err
}

// extendOriginsLease replaces a lease that ends too early by a new one. Leases are not renewed:
// origins must outlive their host.
func (g *Gateway) extendOriginsLease(ctx context.Context, lease *originsLease, now, until time.Time) error {
	if !lease.endsAt.Before(until) {
		return nil
	}
	id, duration, err := g.options.KeyValue.GrantLease(ctx, min(until.Sub(now)+originsLeaseReuse, maxOriginsLease))
	if err != nil {
		return err
	}
	*lease = originsLease{
		id:     id,
		endsAt: now.Add(duration),
	}
	return nil
}

// readOrigin reads the origin of a stream from the key-value service.
func (g *Gateway) readOrigin(ctx context.Context, id streams.ID) (streams.Origin, bool) {
	ctx, cancel := context.WithTimeout(ctx, originsTimeout)
	defer cancel()
	select {
	case g.streams.reads <- struct{}{}:
	case <-ctx.Done():
		return streams.Origin{}, false
	}
	defer func() { <-g.streams.reads }()
	listing, err := g.options.KeyValue.List(ctx, g.options.Layout.originsPrefix(id))
	if err != nil {
		g.log.Info("stream's origin can't be read", zap.Error(err))
		return streams.Origin{}, false
	}
	var stored []streams.Origin
	for i := range listing.Entries {
		var entry originEntry
		if err := json.Unmarshal(listing.Entries[i].Value, &entry); err != nil {
			g.log.Warn("stream's origin can't be decoded", zap.String("Key", listing.Entries[i].Key), zap.Error(err))
			return streams.Origin{}, false
		}
		stored = append(stored, streams.Origin{
			Service: ident.ServiceName(entry.Service),
			Build:   ident.Build(entry.Build),
		})
	}
	return streams.ConcludeStored(stored)
}
