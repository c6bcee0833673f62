package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"cicadaloom/internal/control/streams"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/store"
)

const (
	// historyTimeout bounds a read of the history of builds, historyForPeerTimeout one for a peer:
	// less than keeperTimeout, so that the peer gets an answer also without it.
	historyTimeout        = 200 * time.Millisecond
	historyForPeerTimeout = 100 * time.Millisecond
)

// historyReads are the reads of the history of builds. Requests share them: while one is in progress,
// all that ask wait for the next one, so that each gets a read that began after it had asked.
type historyReads struct {
	mu sync.Mutex
	// next is the read that has not begun, nil if nobody waits for one. isRunning is whether a
	// goroutine reads.
	next      *historyRead
	isRunning bool
}

// historyRead is one read. Its results are set when done is closed.
type historyRead struct {
	done    chan struct{}
	history streams.History
	err     error
}

// join returns the next read, and whether a goroutine is to be started for it.
func (r *historyReads) join() (*historyRead, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.next == nil {
		r.next = &historyRead{
			done: make(chan struct{}),
		}
	}
	mustStart := !r.isRunning
	r.isRunning = true
	return r.next, mustStart
}

// begin returns the read to make now, nil if nobody waits for one.
func (r *historyReads) begin() *historyRead {
	r.mu.Lock()
	defer r.mu.Unlock()
	read := r.next
	r.next = nil
	r.isRunning = read != nil
	return read
}

// runHistoryReads reads the history while requests wait for it.
func (g *Gateway) runHistoryReads() error {
	for {
		read := g.streams.historyReads.begin()
		if read == nil {
			return nil
		}
		read.history, read.err = g.fetchHistory()
		close(read.done)
	}
}

// fetchHistory reads the history of builds, for the control goroutine too.
func (g *Gateway) fetchHistory() (streams.History, error) {
	ctx, cancel := context.WithTimeout(g.context(), historyTimeout)
	defer cancel()
	key := g.options.Layout.buildsKey()
	listing, err := g.options.KeyValue.List(ctx, key)
	if err != nil {
		return nil, err
	}
	for i := range listing.Entries {
		entry := &listing.Entries[i]
		if entry.Key == key {
			g.post(buildsRead{entry: *entry})
			return decodeBuilds(entry.Value)
		}
	}
	return nil, errors.New("there is no history of builds yet")
}

// buildsRead has the entry with the history of builds, as it was read for requests.
type buildsRead struct {
	entry store.Entry
}

func (e buildsRead) apply(_ time.Time, c *control) {
	c.applyBuildsEntry(&e.entry)
}

// readHistory returns the history of builds by a read that begins after the call.
func (g *Gateway) readHistory(ctx context.Context) (streams.History, error) {
	if !g.tomb.Alive() {
		return nil, errors.New("the host stops")
	}
	read, mustStart := g.streams.historyReads.join()
	if mustStart {
		g.tomb.Go(g.runHistoryReads)
	}
	select {
	case <-read.done:
		return read.history, read.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// confirmBuilds returns what this host knows of the builds of a service. If that is one build, the
// history is read, since this host may not have heard of another one yet; a host that is out of touch
// with the key-value service doesn't try.
func (g *Gateway) confirmBuilds(ctx context.Context, service ident.ServiceName, timeout time.Duration) streams.View {
	now := time.Now()
	view := streams.View{
		Builds:     g.buildsOf(now, service, g.Pool(service)),
		HasHistory: g.streams.loadHistory().Has(service),
	}
	if len(view.Builds) > 1 || !g.isInTouch() {
		return view
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	history, err := g.readHistory(ctx)
	if err != nil || !history.Has(service) {
		g.log.Debug("builds not confirmed", zap.String("Service", string(service)), zap.Error(err))
		return view
	}
	view.Builds = append(view.Builds, history.Recent(now, service)...)
	slices.Sort(view.Builds)
	view.Builds = slices.Compact(view.Builds)
	view.HasHistory = true
	view.IsConfirmed = true
	if len(view.Builds) > 1 {
		g.streams.ledger.SetMixed(service, true) // before this host has heard of the servers
	}
	return view
}
