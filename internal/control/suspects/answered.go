package suspects

import (
	"sync/atomic"
	"time"

	"cicadaloom/internal/domain/ident"
)

const (
	// answeredCells is the number of requests that can be remembered as answered.
	answeredCells = 4096
	// answerValidity is how long an answer shows that its request crashes no server. It is
	// bounded, since a later version of a server may crash under the same request.
	answerValidity = 10 * time.Second
)

// Answered remembers the requests that backend servers have lately answered. A server that
// crashes while it runs one of them has crashed for another reason: many callers may send
// the same request, and all of their copies are in flight where a whole service goes down.
// Of two requests in the same cell the later is kept. The zero value is empty; it is safe
// for use by many goroutines.
type Answered struct {
	cells [answeredCells]atomic.Pointer[answeredCell]
}

type answeredCell struct {
	fingerprint ident.Fingerprint
	validUntil  time.Time
}

// Add records that a request has been answered.
func (a *Answered) Add(now time.Time, fingerprint ident.Fingerprint) {
	a.cells[fingerprint%answeredCells].Store(&answeredCell{
		fingerprint: fingerprint,
		validUntil:  now.Add(answerValidity),
	})
}

// Has reports whether a request has lately been answered.
func (a *Answered) Has(now time.Time, fingerprint ident.Fingerprint) bool {
	cell := a.cells[fingerprint%answeredCells].Load()
	return cell != nil && cell.fingerprint == fingerprint && now.Before(cell.validUntil)
}
