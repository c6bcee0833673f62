package holdings

import (
	"maps"
	"slices"
	"time"

	"cicadaloom/internal/control/loading"
	"cicadaloom/internal/domain/ident"
)

// loads notes which models engines came to hold, and when. From it the next holder knows
// how much of the weight store's pace its predecessor has used.
//
// An instant is that of the word that told of the model, later than that of its load.
// Words that are lost only make it later: then a load counts for too long.
type loads struct {
	// from is since when there has been something to compare words with.
	from time.Time
	held map[ident.ServerName]loading.Held
	// appeared are the instants at which models appeared, the oldest first.
	appeared []time.Time
}

// loadsKept is for how long appearances are kept: longer than the window of any pace.
const loadsKept = 10 * time.Second

// note takes in a word on what an engine holds.
func (l *loads) note(now time.Time, told *loading.Holding) {
	if l.held == nil {
		l.held = make(map[ident.ServerName]loading.Held)
	}
	after := told.Held()
	if !l.from.IsZero() {
		for range after.LoadsSince(l.held[told.Server]) {
			l.appeared = append(l.appeared, now)
		}
	}
	l.held[told.Server] = after
}

// noted ends the taking in of words that came together.
func (l *loads) noted(now time.Time) {
	if l.from.IsZero() && len(l.held) > 0 {
		l.from = now
	}
	for len(l.appeared) > 0 && now.Sub(l.appeared[0]) > loadsKept {
		l.appeared = l.appeared[1:]
	}
}

// Past gives what is known of the loads that began before now, for the planner of a new
// holder.
func (t *Table) Past() loading.Past {
	return loading.Past{
		Known: t.loads.from,
		Loads: slices.Clone(t.loads.appeared),
		Held:  maps.Clone(t.loads.held),
	}
}
