package suspects

import (
	"sync/atomic"
	"time"

	"cicadaloom/internal/domain/ident"
)

// answeredCells is the number of requests or prompt parts that can be remembered as answered.
const answeredCells = 4096

// How long an answer shows that a request, or a part of its prompt, crashes no server. The time
// is bounded, since a later version of a server may crash under the same request. Parts are
// remembered for longer: they are common, and while servers crash again and again none may
// begin an answer to them.
const (
	requestAnswerValidity = 10 * time.Second
	partAnswerValidity    = 30 * time.Second
)

// Answered remembers the requests that backend servers have lately answered, or the parts of
// their prompts. A server that crashes while it runs one of them has crashed for another
// reason: many callers may send the same request, and all of their copies are in flight where
// a whole service goes down. Of two fingerprints in the same cell the later is kept. The zero
// value is empty; it is safe for use by many goroutines.
type Answered struct {
	cells [answeredCells]atomic.Pointer[answeredCell]
}

type answeredCell struct {
	fingerprint ident.Fingerprint
	validUntil  time.Time
}

// AddRequest records that a request has been answered.
func (a *Answered) AddRequest(now time.Time, fingerprint ident.Fingerprint) {
	a.add(fingerprint, now.Add(requestAnswerValidity))
}

// AddPart records that an answer to a prompt with a part has begun, at the part's build.
func (a *Answered) AddPart(now time.Time, part Part) {
	for _, fingerprint := range part.fingerprints() {
		a.add(fingerprint, now.Add(partAnswerValidity))
	}
}

func (a *Answered) add(fingerprint ident.Fingerprint, validUntil time.Time) {
	a.cells[fingerprint%answeredCells].Store(&answeredCell{
		fingerprint: fingerprint,
		validUntil:  validUntil,
	})
}

// Has reports whether a request or part has lately been answered. A nil Answered has none.
func (a *Answered) Has(now time.Time, fingerprint ident.Fingerprint) bool {
	if a == nil {
		return false
	}
	cell := a.cells[fingerprint%answeredCells].Load()
	return cell != nil && cell.fingerprint == fingerprint && now.Before(cell.validUntil)
}
