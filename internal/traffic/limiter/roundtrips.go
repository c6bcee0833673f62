package limiter

import (
	"sync"
	"time"

	"cicadaloom/internal/domain/ident"
)

// roundTripDecay is the part of a region's round trip that a faster one leaves: a host that was slow
// for a moment may be so again.
const roundTripDecay = 0.9

// roundTrips estimates how long messages to the hosts of a region and back take, and so requests to
// its servers. The zero value is ready to use.
type roundTrips struct {
	mu       sync.Mutex
	byRegion map[ident.Region]time.Duration
}

// of returns a region's round trip, askTimeout if it isn't known.
func (r *roundTrips) of(region ident.Region) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known, found := r.byRegion[region]; found {
		return known
	}
	return askTimeout
}

func (r *roundTrips) record(region ident.Region, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byRegion == nil {
		r.byRegion = make(map[ident.Region]time.Duration)
	}
	decayed := time.Duration(roundTripDecay * float64(r.byRegion[region]))
	r.byRegion[region] = max(took, decayed)
}
