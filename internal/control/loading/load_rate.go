package loading

import (
	"slices"
	"time"

	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
)

// maxLoadsInWindow returns how many loads from the weight store may start in one window.
// The limit applies to the start at the engine, which is one network delay after the
// planner counts it, so one load is held back.
func (p *Planner) maxLoadsInWindow() int {
	allowed := p.engineSpec.LoadsPerSecond*p.options.Window.Seconds()*p.options.Overshoot + loadBurst
	return max(int(allowed)-1, 1)
}

// LoadHistory is what a host knows of the loads that started under earlier leaders.
type LoadHistory struct {
	// CompleteSince is the instant since when it has seen all of them, zero if it has seen none.
	CompleteSince time.Time
	// StartTimes are the instants at which models appeared on engines.
	StartTimes []time.Time
	// Models has the last known models of each engine.
	Models map[ident.ServerName]LoadedModels
}

// loadStartLifetime returns how long a load counts towards the rate limit.
func (p *Planner) loadStartLifetime() time.Duration {
	return p.options.Window + orderStartTimeout/4
}

// ResumeRateLimit makes a new leader's planner respect the load rate limit together with earlier
// leaders, whose loads may have started until just now. If the host has observed a whole
// window, it counts the loads that it knows of; the others show in the engines' first
// reports, as new models and orders in progress. If it has not, as after a loss of all
// hosts, the limit counts as used up.
//
// If the limit counted as used up after each change of leader, no model with new demand
// could get a replica from the weight store for a window, and its prompts would be refused.
func (p *Planner) ResumeRateLimit(now time.Time, history LoadHistory) {
	if history.CompleteSince.IsZero() || now.Sub(history.CompleteSince) < p.loadStartLifetime() {
		for range p.maxLoadsInWindow() {
			p.loadStarts = append(p.loadStarts, now)
		}
		return
	}
	p.loadStarts = append(p.loadStarts, history.StartTimes...)
	p.modelsBefore = history.Models
}

// recordRestart records that an engine has restarted empty. Its former models have been
// counted already: if they were counted again, many engines that restart together would use
// up the rate limit that they need to load models.
func (p *Planner) recordRestart(server *Server) {
	if p.modelsBefore != nil {
		p.modelsBefore[server.Name] = LoadedModels{
			Incarnation: server.Incarnation,
		}
	}
}

// countForeignLoads counts the loads that a report shows and this planner has not ordered:
// loads of earlier leaders, including those whose order arrived late. An engine's first
// report is counted only if the models it had before are known.
func (p *Planner) countForeignLoads(e *engine, report *backend.Report, loaded LoadedModels) {
	before := LoadedModels{
		Incarnation: e.Incarnation,
		Models:      e.models,
	}
	switch {
	case e.reported:
	case p.modelsBefore == nil:
		return
	default:
		before = p.modelsBefore[e.Name]
	}
	if e.pending != nil && e.pending.order.Kind == backend.LoadModel {
		before.Models = append(slices.Clone(before.Models), e.pending.order.Model)
	}
	loads := loaded.CountLoadsSince(before)
	if !e.reported && report.OrderInProgress {
		loads++
	}
	for range loads {
		p.loadStarts = append(p.loadStarts, report.ReportedAt)
	}
}

// mayStartStoreLoad reports whether a load from the weight store may start now.
func (p *Planner) mayStartStoreLoad(now time.Time) bool {
	return len(p.loadStarts) < p.maxLoadsInWindow()
}

// expireLoadStarts drops the loads that have left the window. An unanswered load may start
// later: it counts for unansweredLoadTime after its order.
func (p *Planner) expireLoadStarts(now time.Time) {
	unanswered := 0
	for _, e := range p.sortedEngines {
		if e.pending != nil && e.pending.isFromStore && e.pending.acceptedAt.IsZero() && now.Sub(e.pending.sentAt) < unansweredLoadTime {
			unanswered++
		}
	}
	p.loadStarts = slices.DeleteFunc(p.loadStarts, func(at time.Time) bool { return now.Sub(at) > p.loadStartLifetime() })
	for len(p.loadStarts) < unanswered {
		p.loadStarts = append(p.loadStarts, now)
	}
}

// estimateLoad returns how long a load of a model onto an engine takes, and whether it may
// start now.
func (p *Planner) estimateLoad(now time.Time, e *engine, m *model) (time.Duration, bool) {
	duration, isLocal := p.loadTime(e, m)
	return duration, isLocal || p.mayStartStoreLoad(now)
}

// loadTime returns how long a load takes, and whether the weights are read from the
// engine's host memory or disk rather than from the weight store.
func (p *Planner) loadTime(e *engine, m *model) (time.Duration, bool) {
	switch {
	case slices.Contains(e.report.InHostMemory, m.spec.Name):
		return m.spec.HostMemoryLoadTime, true
	case slices.Contains(e.report.OnDisk, m.spec.Name):
		return m.spec.DiskLoadTime, true
	default:
		return m.spec.StoreLoadTime, false
	}
}
