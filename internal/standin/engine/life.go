package engine

import (
	"context"
	"sync"

	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
)

// life is one incarnation of the engine: all that a crash loses.
type life struct {
	engine      *Engine
	incarnation ident.Incarnation
	ctx         context.Context // ends with the life
	end         context.CancelFunc

	mu        sync.Mutex
	residents []*resident
	fencing   ident.FencingNumber
	seen      orderSet
	settled   []backend.SettledOrder
	running   int
	queue     []*ticket
	arrivals  int64
	attempts  map[ident.AttemptID]context.CancelFunc
	cache     prefixCache
	generated int64
	rate      float64 // tokens a second, smoothed
	history   []backend.Report
}

func newLife(e *Engine) *life {
	ctx, cancel := context.WithCancel(context.Background())
	return &life{
		engine:      e,
		incarnation: ident.NewIncarnation(),
		ctx:         ctx,
		end:         cancel,
		attempts:    make(map[ident.AttemptID]context.CancelFunc),
		cache:       newPrefixCache(e.options.CacheEntries),
	}
}

// enter makes an attempt known to cancels. The context ends with the client's
// connection, a cancel or the life; leave must be called.
func (l *life) enter(client context.Context, attempt ident.AttemptID) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(client)
	detach := context.AfterFunc(l.ctx, cancel)
	l.mu.Lock()
	l.attempts[attempt] = cancel
	l.mu.Unlock()
	return ctx, func() {
		detach()
		cancel()
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.attempts, attempt)
	}
}

// cancelAttempt tells whether the attempt waited or ran.
func (l *life) cancelAttempt(attempt ident.AttemptID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	cancel, found := l.attempts[attempt]
	if found {
		cancel()
	}
	return found
}

func (l *life) countToken() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.generated++
}
