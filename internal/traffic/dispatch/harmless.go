package dispatch

import (
	"sync/atomic"
	"time"

	"cicadaloom/internal/domain/ident"
)

// harmlessCells is the number of contents that can be remembered as harmless.
const harmlessCells = 8192

// harmlessContents remembers the fingerprints of contents that a backend server
// has answered completely, which shows that they don't crash it. Of two
// fingerprints in the same cell, the latest is kept. The zero value is empty.
type harmlessContents struct {
	cells [harmlessCells]atomic.Uint64
}

func (c *harmlessContents) has(fingerprint ident.Fingerprint) bool {
	return c.cells[fingerprint%harmlessCells].Load() == uint64(fingerprint)
}

func (c *harmlessContents) add(fingerprint ident.Fingerprint) {
	c.cells[fingerprint%harmlessCells].Store(uint64(fingerprint))
}

// When a server has crashed, hosts inform each other within milliseconds, and
// all of them know within one or two seconds. Until then, a request whose two
// allowed servers are both gone waits for up to maxConfinedWait, since it may
// have crashed them.
const (
	recentCrashWindow = 5 * time.Second
	maxConfinedWait   = time.Second
)

// crashNotice records when this host last noticed that a server was gone.
type crashNotice struct {
	lastAt atomic.Int64 // Unix nanoseconds
}

func (n *crashNotice) record(now time.Time) {
	n.lastAt.Store(now.UnixNano())
}

func (n *crashNotice) isRecent(now time.Time) bool {
	return now.Sub(time.Unix(0, n.lastAt.Load())) < recentCrashWindow
}
