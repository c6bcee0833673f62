package loading

import (
	"slices"
	"time"
)

// paceLimit is how many loads from the weight store may begin in one window. What
// counts is the instant at which a load begins at the engine, a way later than it is
// counted here, so one is kept back.
func (p *Planner) paceLimit() int {
	allowed := p.engine.LoadsPerSecond*p.options.Window.Seconds()*p.options.Overshoot + coldLoads
	return max(int(allowed)-1, 1)
}

// mayBegin tells whether a load from the weight store may begin now.
func (p *Planner) mayBegin(now time.Time) bool {
	return len(p.begun) < p.paceLimit()
}

// forgetBegun drops the loads that have left the window. One whose order got no
// answer may begin later: it stays for as long as orders are known to be late.
func (p *Planner) forgetBegun(now time.Time) {
	unresolved := 0
	for _, e := range p.list {
		if e.pending != nil && e.pending.cold && e.pending.acceptedAt.IsZero() && now.Sub(e.pending.sentAt) < unresolvedLoad {
			unresolved++
		}
	}
	keep := p.options.Window + startTrust/4
	p.begun = slices.DeleteFunc(p.begun, func(at time.Time) bool { return now.Sub(at) > keep })
	for len(p.begun) < unresolved {
		p.begun = append(p.begun, now)
	}
}

// mayLoad tells whether a load of a model on a server may begin now, and how long it takes.
func (p *Planner) mayLoad(now time.Time, e *engine, m *model) (time.Duration, bool) {
	length, own := p.loadTime(e, m)
	return length, own || p.mayBegin(now)
}

// loadTime gives how long a load takes, and whether the weights come from the server
// itself.
func (p *Planner) loadTime(e *engine, m *model) (time.Duration, bool) {
	switch {
	case slices.Contains(e.report.InHostMemory, m.spec.Name):
		return m.spec.WarmTime, true
	case slices.Contains(e.report.OnDisk, m.spec.Name):
		return m.spec.DiskTime, true
	default:
		return m.spec.LoadTime, false
	}
}
