package engine

import (
	"context"
	"sync"

	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
)

// incarnation is the state of the engine from one start or restart to the next
// crash.
type incarnation struct {
	engine    *Engine
	id        ident.Incarnation
	ctx       context.Context // cancelled by terminate
	terminate context.CancelFunc

	mu              sync.Mutex
	residents       []*resident
	fencing         ident.FencingNumber
	seenOrders      orderSet
	settled         []backend.SettledOrder
	running         int
	queue           []*ticket
	lastArrival     int64
	cancelByAttempt map[ident.AttemptID]context.CancelFunc
	cache           prefixCache
	generatedTokens int64
	tokensPerSecond float64 // exponentially smoothed
	history         []backend.Report
}

func newIncarnation(e *Engine) *incarnation {
	ctx, cancel := context.WithCancel(context.Background())
	return &incarnation{
		engine:          e,
		id:              ident.NewIncarnation(),
		ctx:             ctx,
		terminate:       cancel,
		cancelByAttempt: make(map[ident.AttemptID]context.CancelFunc),
		cache:           newPrefixCache(e.options.CacheEntries),
	}
}

// registerAttempt makes an attempt known to cancelAttempt. The returned context
// ends when the client disconnects, the attempt is cancelled or the incarnation
// ends. The returned function must be called when the attempt is over.
func (inc *incarnation) registerAttempt(client context.Context, attempt ident.AttemptID) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(client)
	detach := context.AfterFunc(inc.ctx, cancel)
	inc.mu.Lock()
	inc.cancelByAttempt[attempt] = cancel
	inc.mu.Unlock()
	return ctx, func() {
		detach()
		cancel()
		inc.mu.Lock()
		defer inc.mu.Unlock()
		delete(inc.cancelByAttempt, attempt)
	}
}

// cancelAttempt cancels an attempt and reports whether it was queued or running.
func (inc *incarnation) cancelAttempt(attempt ident.AttemptID) bool {
	inc.mu.Lock()
	defer inc.mu.Unlock()
	cancel, found := inc.cancelByAttempt[attempt]
	if found {
		cancel()
	}
	return found
}

func (inc *incarnation) countToken() {
	inc.mu.Lock()
	defer inc.mu.Unlock()
	inc.generatedTokens++
}
