package loading

import (
	"slices"
	"time"

	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
)

// paceLimit is how many loads from the weight store may begin in one window. What
// counts is the instant at which a load begins at the engine, a way later than it is
// counted here, so one is kept back.
func (p *Planner) paceLimit() int {
	allowed := p.engine.LoadsPerSecond*p.options.Window.Seconds()*p.options.Overshoot + coldLoads
	return max(int(allowed)-1, 1)
}

// Past is what a host knows of the loads that began under earlier holders.
type Past struct {
	// Known is since when it has known of all of them, zero for never.
	Known time.Time
	// Loads are the instants at which models appeared on engines.
	Loads []time.Time
	// Held is what each engine was last known to hold.
	Held map[ident.ServerName]Held
}

// paceKept is for how long a load counts in the pace.
func (p *Planner) paceKept() time.Duration {
	return p.options.Window + startTrust/4
}

// BeginPaced has a new holder keep to the pace together with the earlier ones, whose
// loads may have begun until just now. Where the host has followed all of a window, it
// counts the loads that it knows of; the rest shows in the engines' first reports, as
// models that are new there and orders under way. Where it has not, as after a loss of
// all hosts, the pace counts as used up.
//
// With the pace used up after each change of the holder, no model that had become busy
// got a replica from the weight store for a window, while its prompts were refused.
func (p *Planner) BeginPaced(now time.Time, past Past) {
	if past.Known.IsZero() || now.Sub(past.Known) < p.paceKept() {
		for range p.paceLimit() {
			p.begun = append(p.begun, now)
		}
		return
	}
	p.begun = append(p.begun, past.Loads...)
	p.before = past.Held
}

// beganAnew takes in that an engine has lost what it held. All that was loaded there before
// has been counted: where many engines come back empty, the pace is needed for them.
func (p *Planner) beganAnew(server *Server) {
	if p.before != nil {
		p.before[server.Name] = Held{
			Incarnation: server.Incarnation,
		}
	}
}

// noteForeign counts the loads that a report shows and that this planner has not ordered:
// those of earlier holders, also where an order of theirs came late. First reports tell of
// loads only where it is known what engines held before.
func (p *Planner) noteForeign(e *engine, report *backend.Report, held Held) {
	known := Held{
		Incarnation: e.Incarnation,
		Models:      e.held,
	}
	switch {
	case e.reported:
	case p.before == nil:
		return
	default:
		known = p.before[e.Name]
	}
	if e.pending != nil && e.pending.order.Kind == backend.LoadModel {
		known.Models = append(slices.Clone(known.Models), e.pending.order.Model)
	}
	loads := held.LoadsSince(known)
	if !e.reported && report.OrderUnderWay {
		loads++
	}
	for range loads {
		p.begun = append(p.begun, report.At)
	}
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
	p.begun = slices.DeleteFunc(p.begun, func(at time.Time) bool { return now.Sub(at) > p.paceKept() })
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
