package dispatch

import (
	"sync/atomic"
	"time"

	"cicadaloom/internal/domain/ident"
)

// provenCells bounds the contents that are remembered as harmless.
const provenCells = 8192

// proven remembers contents that a backend server has answered whole, so that
// they do it no harm. Two that fall on one cell displace each other. The zero
// value is empty.
type proven struct {
	cells [provenCells]atomic.Uint64
}

func (p *proven) has(fingerprint ident.Fingerprint) bool {
	return p.cells[fingerprint%provenCells].Load() == uint64(fingerprint)
}

func (p *proven) add(fingerprint ident.Fingerprint) {
	p.cells[fingerprint%provenCells].Store(uint64(fingerprint))
}

// After a death was noticed, hosts tell one another within a few milliseconds,
// and all have heard within a second or two. Until then a request whose servers
// have both gone is held for up to holdFor: it may be what killed them.
const (
	deathIsNews = 5 * time.Second
	holdFor     = time.Second
)

// deaths remembers when this host last noticed that a server had gone.
type deaths struct {
	last atomic.Int64 // Unix nanoseconds
}

func (d *deaths) noticed(now time.Time) {
	d.last.Store(now.UnixNano())
}

func (d *deaths) recent(now time.Time) bool {
	return now.Sub(time.Unix(0, d.last.Load())) < deathIsNews
}
