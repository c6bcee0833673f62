package holdings

import (
	"maps"
	"slices"
	"time"

	"cicadaloom/internal/control/loading"
	"cicadaloom/internal/domain/ident"
)

// loadHistory records which models engines have loaded, and when. From it the next leader knows
// how much of the weight store's load rate limit its predecessor has used.
//
// A load has the instant of the report that first included the model, which is later than the
// load. Lost reports only make it later still: then the load counts for too long.
type loadHistory struct {
	// since is when the first inventories became known, which later ones are compared with.
	since       time.Time
	inventories map[ident.ServerName]loading.LoadedModels
	// appearedAt has the instants at which models appeared, the oldest first.
	appearedAt []time.Time
}

// loadRetention is how long loads are kept: longer than the window of any load rate limit.
const loadRetention = 10 * time.Second

// record adds the loads that an engine's new inventory shows.
func (l *loadHistory) record(now time.Time, reported *loading.Inventory) {
	if l.inventories == nil {
		l.inventories = make(map[ident.ServerName]loading.LoadedModels)
	}
	held := reported.LoadedModels()
	if !l.since.IsZero() {
		for range held.CountLoadsSince(l.inventories[reported.Server]) {
			l.appearedAt = append(l.appearedAt, now)
		}
	}
	l.inventories[reported.Server] = held
}

// endBatch ends a batch of reports that arrived together, and drops old loads.
func (l *loadHistory) endBatch(now time.Time) {
	if l.since.IsZero() && len(l.inventories) > 0 {
		l.since = now
	}
	for len(l.appearedAt) > 0 && now.Sub(l.appearedAt[0]) > loadRetention {
		l.appearedAt = l.appearedAt[1:]
	}
}

// LoadHistory returns what is known of earlier loads, for the planner of a new leader.
func (t *Table) LoadHistory() loading.LoadHistory {
	return loading.LoadHistory{
		CompleteSince: t.loads.since,
		StartTimes:    slices.Clone(t.loads.appearedAt),
		Models:        maps.Clone(t.loads.inventories),
	}
}
