// Package heldbytes bounds the bytes that a process holds for all requests together: the bodies of
// requests, and the answers that are read before they are passed on.
//
// A Budget belongs to the process, a Hold to one request. A Hold grows as bytes arrive, never by
// what a peer says is to come, and growing never waits: where there is no room, the request has to
// end. So that servers which send without end, or clients which read slowly, cost their own
// requests only,
//
//   - a quarter of the budget is kept for the first SmallBytes of each request;
//   - the answers of one server may have a quarter of the budget beyond those first bytes, or one
//     answer of the greatest length where that is more.
//
// Budget and Hold read no clock, do no I/O and start no goroutine. A Budget is safe for concurrent
// use, a Hold belongs to one goroutine. The zero Budget has no bound.
//
// # Usage
//
//	budget := heldbytes.New(settings.Memory/4, maxAnswerBytes)
//	hold := budget.Hold()
//	defer hold.Release()
//	if !hold.Grow(len(part)) {
//		// refuse the request, or end it
//	}
//	hold.UseServer("10.0.0.7:8080") // what follows is its answer
package heldbytes

import (
	"sync"

	"cicadaloom/internal/domain/unit"
)

// SmallBytes is how much of each request counts as small.
const SmallBytes = 64 * unit.Kibibyte

const (
	// smallShare is the part of the budget that is kept for the small part of each request.
	smallShare = 0.25
	// serverShare is the part of the budget that the answers of one server may have.
	serverShare = 0.25
)

// Stats says what a budget holds and how often it had no room.
type Stats struct {
	Held  unit.Bytes
	Limit unit.Bytes
	// Peak is the most that was held at once.
	Peak unit.Bytes
	// Denied counts how often a Hold could not grow.
	Denied uint64
}

// Budget bounds the bytes of all requests.
type Budget struct {
	limit       unit.Bytes
	largeLimit  unit.Bytes
	serverLimit unit.Bytes

	mu     sync.Mutex
	held   unit.Bytes
	peak   unit.Bytes
	denied uint64
	// large is what is held beyond the small part of each request, byServer that of answers.
	large    unit.Bytes
	byServer map[string]unit.Bytes
}

// New returns a budget of limit bytes. maxAnswer is the greatest length of one answer.
func New(limit, maxAnswer unit.Bytes) *Budget {
	largeLimit := limit - unit.Bytes(float64(limit)*smallShare)
	return &Budget{
		limit:       limit,
		largeLimit:  largeLimit,
		serverLimit: min(max(unit.Bytes(float64(limit)*serverShare), maxAnswer), largeLimit),
		byServer:    make(map[string]unit.Bytes),
	}
}

// Hold returns the hold of a request, with nothing held.
func (b *Budget) Hold() Hold {
	return Hold{
		budget: b,
	}
}

// Stats returns what is held now.
func (b *Budget) Stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Stats{
		Held:   b.held,
		Limit:  b.limit,
		Peak:   b.peak,
		Denied: b.denied,
	}
}

// acquire takes n bytes, large of which count as large and are a server's unless it is empty.
func (b *Budget) acquire(n, large unit.Bytes, server string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.limit > 0 && !b.hasRoom(n, large, server) {
		b.denied++
		return false
	}
	b.held += n
	b.peak = max(b.peak, b.held)
	b.large += large
	if server != "" && large > 0 {
		if b.byServer == nil {
			b.byServer = make(map[string]unit.Bytes)
		}
		b.byServer[server] += large
	}
	return true
}

func (b *Budget) hasRoom(n, large unit.Bytes, server string) bool {
	if b.held+n > b.limit || large > 0 && b.large+large > b.largeLimit {
		return false
	}
	return server == "" || large == 0 || b.byServer[server]+large <= b.serverLimit
}

func (b *Budget) release(released part, server string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held -= released.all
	b.large -= released.large
	b.subtractServer(released.large, server)
}

// forgetServer counts large bytes as no server's any more.
func (b *Budget) forgetServer(large unit.Bytes, server string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.subtractServer(large, server)
}

// subtractServer needs mu.
func (b *Budget) subtractServer(large unit.Bytes, server string) {
	if server == "" || large == 0 {
		return
	}
	if b.byServer[server] -= large; b.byServer[server] <= 0 {
		delete(b.byServer, server)
	}
}

// Hold is what one request holds. The zero Hold has no budget and may grow without a bound.
type Hold struct {
	budget *Budget
	// body is held for the request's body, answer for the answer of server, kept for earlier answers
	// that may still be passed on.
	body   part
	answer part
	kept   part
	server string
}

// part is an amount that is held, and how much of it counts as large.
type part struct {
	all   unit.Bytes
	large unit.Bytes
}

// Grow takes n more bytes, and reports whether there is room for them.
func (h *Hold) Grow(n int) bool {
	amount := unit.Bytes(n)
	total := h.body.all + h.answer.all + h.kept.all + amount
	large := min(max(total-SmallBytes, 0), amount)
	if h.budget != nil && !h.budget.acquire(amount, large, h.server) {
		return false
	}
	grown := &h.body
	if h.server != "" {
		grown = &h.answer
	}
	grown.all += amount
	grown.large += large
	return true
}

// UseServer releases what is held for an answer. What the hold grows by next is an answer of the
// given server.
func (h *Hold) UseServer(server string) {
	h.ReleaseAnswer(h.answer.all)
	h.server = server
}

// KeepAnswer keeps what is held for the answer until Release, whatever other servers send.
func (h *Hold) KeepAnswer() {
	if h.budget != nil {
		h.budget.forgetServer(h.answer.large, h.server)
	}
	h.kept.all += h.answer.all
	h.kept.large += h.answer.large
	h.answer = part{}
}

// ReleaseBody releases what is held for the request's body.
func (h *Hold) ReleaseBody() {
	h.release(h.body, "")
	h.body = part{}
}

// ReleaseAnswer releases n bytes of those that are held for the answer, large ones first.
func (h *Hold) ReleaseAnswer(n unit.Bytes) {
	released := part{
		all:   min(n, h.answer.all),
		large: min(n, h.answer.large),
	}
	h.release(released, h.server)
	h.answer.all -= released.all
	h.answer.large -= released.large
}

// Release releases all.
func (h *Hold) Release() {
	h.ReleaseBody()
	h.ReleaseAnswer(h.answer.all)
	h.release(h.kept, "")
	h.kept = part{}
}

func (h *Hold) release(released part, server string) {
	if h.budget != nil && released.all > 0 {
		h.budget.release(released, server)
	}
}
