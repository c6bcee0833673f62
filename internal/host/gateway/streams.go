package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"cicadaloom/internal/control/pacing"
	"cicadaloom/internal/control/streams"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/peer/streampeer"
)

const (
	// keepInterval is between two deliveries of streams' origins to their keepers, in a small
	// fleet. A stream whose host is killed before it can't be resumed while several builds serve.
	keepInterval = 200 * time.Millisecond
	// keeperTimeout is how long a keeper may take to answer: a round trip between regions, and
	// what a busy host adds.
	keeperTimeout = 250 * time.Millisecond
	// historyPoll is how often a request checks whether the history of builds is known.
	historyPoll = 20 * time.Millisecond
)

// streamOrigins finds out which builds began the streams that clients resume.
type streamOrigins struct {
	ledger streams.Ledger
	client streampeer.Client
	// added wakes the goroutine that delivers origins, unstored the one that stores them.
	added    chan struct{}
	unstored chan struct{}
	// isStoreFailing is whether the last write of origins failed.
	isStoreFailing atomic.Bool
	// reads has a value for each read of an origin in progress.
	reads         chan struct{}
	stored        *metrics.Counter
	storeFailures *metrics.Counter
	// history is that of the key-value service's entry.
	history      atomic.Pointer[streams.History]
	historyReads historyReads
}

// loadHistory returns the history of builds, nil while it isn't known.
func (s *streamOrigins) loadHistory() streams.History {
	if history := s.history.Load(); history != nil {
		return *history
	}
	return nil
}

func (s *streamOrigins) wake() {
	for _, goroutine := range []chan struct{}{s.added, s.unstored} {
		select {
		case goroutine <- struct{}{}:
		default: // a wakeup is pending
		}
	}
}

// publishBuilds updates which services' streams have to be sent to their keepers.
func (c *control) publishBuilds(now time.Time) {
	for service, pool := range c.pools {
		c.streams.ledger.SetMixed(service, len(c.buildsOf(now, service, pool)) > 1)
	}
	if c.streams.ledger.HasPending() {
		c.streams.wake()
	}
}

// publishKeepers updates the hosts among which streams' keepers are chosen.
func (c *control) publishKeepers(reachable []pacing.Host) {
	hosts := make([]streams.Host, 0, len(reachable))
	for _, host := range reachable {
		hosts = append(hosts, streams.Host{
			Name:       host.Name,
			Address:    host.Address,
			DataCentre: host.DataCentre,
			StartedAt:  c.hosts[host.Name].startedAt,
		})
	}
	c.streams.ledger.SetHosts(hosts)
}

// RecordStream implements relay.ControlPlane.
func (g *Gateway) RecordStream(began ident.RequestID, server ident.ServerName, origin streams.Origin) {
	if g.streams.ledger.Add(time.Now(), streams.IDOf(began), server, origin) {
		g.streams.wake()
	}
}

// KeepStreams implements streampeer.Handler.
func (g *Gateway) KeepStreams(kept []streams.Stream) {
	g.streams.ledger.Keep(time.Now(), kept)
}

// FindOrigin implements streampeer.Handler.
func (g *Gateway) FindOrigin(id streams.ID, service ident.ServiceName) streams.Answer {
	now := time.Now()
	if origin, known := g.streams.ledger.Find(now, id); known {
		return streams.Answer{
			Known:  true,
			Origin: origin,
			Builds: g.buildsOf(now, service, g.Pool(service)),
		}
	}
	view := g.confirmBuilds(g.context(), service, historyForPeerTimeout)
	return streams.Answer{
		Builds: view.Builds,
	}
}

// FindStream implements relay.ControlPlane: it asks the stream's keepers if this host can't tell, and
// the key-value service if they can't either.
func (g *Gateway) FindStream(ctx context.Context, began ident.RequestID, service ident.ServiceName) (streams.Origin, bool) {
	id := streams.IDOf(began)
	g.awaitServers(ctx, service)
	if origin, known := g.streams.ledger.Find(time.Now(), id); known {
		return origin, true
	}
	view := g.confirmBuilds(ctx, service, historyTimeout)
	if origin, known := streams.Conclude(service, &view, nil); known {
		return origin, true
	}
	origin, known := streams.Conclude(service, &view, g.askKeepers(ctx, id, service))
	if !known {
		origin, known = g.readOrigin(ctx, id)
	}
	if !known {
		g.log.Info("stream's build can't be found", zap.String("ResumedRequest", string(began)), zap.String("Service", string(service)),
			zap.Int("Builds", len(view.Builds)), zap.Bool("HasHistory", view.HasHistory), zap.Bool("Fresh", view.IsConfirmed))
	}
	return origin, known
}

// awaitServers waits until a host that has just started knows servers of a service and the service's
// history.
func (g *Gateway) awaitServers(ctx context.Context, service ident.ServiceName) {
	ctx, cancel := context.WithDeadline(ctx, g.startedAt.Add(routesWait))
	defer cancel()
	for pool := g.Pool(service); pool != nil; {
		changed := pool.Changed()
		if len(pool.RunningBuilds()) > 0 && g.streams.loadHistory().Has(service) {
			return
		}
		select {
		case <-changed:
		case <-time.After(historyPoll):
		case <-ctx.Done():
			return
		}
	}
}

// confirmTimeout bounds the read of a server's entry.
const confirmTimeout = 700 * time.Millisecond

// ConfirmServer implements relay.ControlPlane. It reads the server's entry, which may be newer than what
// this host has heard. A server without an entry has left, and is the one that was chosen. If the entry
// can't be read and several builds serve, the client may find a host that can.
func (g *Gateway) ConfirmServer(ctx context.Context, service ident.ServiceName, server ident.ServerName, incarnation ident.Incarnation) bool {
	isMixed := g.streams.ledger.IsMixed(service)
	if !isMixed && !g.isInTouch() {
		return true // in an outage no build joins
	}
	timeout := confirmTimeout
	if !isMixed {
		timeout = historyTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	key := g.options.Layout.RegistrationPrefix + string(server)
	listing, err := g.options.KeyValue.List(ctx, key)
	if err != nil {
		g.log.Info("server's entry can't be read", zap.String("Server", string(server)), zap.Error(err))
		return !isMixed
	}
	for i := range listing.Entries {
		if listing.Entries[i].Key != key {
			continue
		}
		registration, err := g.options.Layout.DecodeRegistration(listing.Entries[i], g.options.Settings.Host.DataCentres, time.Now())
		return err == nil && registration.Report.Incarnation == incarnation
	}
	return true
}

// askKeepers asks all keepers of a stream at once, and returns the answers so far as soon as one
// of them knows it.
func (g *Gateway) askKeepers(ctx context.Context, id streams.ID, service ident.ServiceName) []streams.Answer {
	ctx, cancel := context.WithTimeout(ctx, keeperTimeout)
	defer cancel()
	keepers := g.streams.ledger.Keepers(id)
	received := make(chan *streams.Answer, len(keepers))
	for _, keeper := range keepers {
		go func() {
			answer, err := g.streams.client.Find(ctx, keeper.Address, id, service)
			if err != nil {
				g.log.Debug("keeper does not answer", zap.String("Keeper", string(keeper.Name)), zap.Error(err))
				received <- nil
				return
			}
			received <- &answer
		}()
	}
	var answers []streams.Answer
	for range keepers {
		answer := <-received
		if answer == nil {
			continue
		}
		answers = append(answers, *answer)
		if answer.Known {
			break
		}
	}
	return answers
}

// runDeliveries sends origins to their keepers while there are any to send.
func (g *Gateway) runDeliveries() error {
	for {
		select {
		case <-g.tomb.Dying():
			return nil
		case <-g.streams.added:
		}
		for g.tomb.Alive() && g.streams.ledger.HasPending() {
			g.deliverOrigins()
			g.sleep(g.stretchByFleet(keepInterval))
		}
	}
}

// deliverOrigins makes one delivery to each keeper that lacks origins.
func (g *Gateway) deliverOrigins() {
	ctx, cancel := context.WithTimeout(g.context(), keeperTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for _, delivery := range g.streams.ledger.Deliveries(time.Now()) {
		calls.Go(func() {
			if err := g.streams.client.Keep(ctx, delivery.Keeper.Address, delivery.Streams); err != nil {
				g.log.Debug("origins not delivered", zap.String("Keeper", string(delivery.Keeper.Name)), zap.Error(err))
				g.streams.ledger.RecordFailed(time.Now(), delivery.Keeper.Name)
				return
			}
			g.streams.ledger.RecordDelivered(&delivery)
		})
	}
	calls.Wait()
}
