// Package locality decides when requests leave a data centre whose own backend servers are too
// few, how many of them, and for where.
//
// Traffic between data centres is slower and costs money, so requests stay while the servers of
// their own data centre answer them in time: while the wait there is shorter than what the path
// elsewhere costs. Only the excess leaves, for data centres with room. Several data centres may
// be short at once; each takes of the room that all see the part that its own excess has in the
// excess of all, so that together they send no more than there is room for. The room and the
// excess follow from the loads that servers report, which every host reads; hosts need no further
// messages to agree.
//
// A Planner keeps the shares of one service on one host. It has no clock, no random source and
// no I/O: all come with the calls. Its zero value plans nothing. It is not safe for concurrent use.
//
// # Usage
//
//	var planner locality.Planner
//	planner.Update(now, locality.Reading{
//		Own:         "brest-a",
//		ReadAt:      reportedAt,
//		ServiceTime: 15 * time.Millisecond,
//		DataCentres: []locality.DataCentre{...},
//	})
//	if destination, planned := planner.Draw(now, rand.Uint64()); planned {
//		// prefer the servers of destination
//	}
//
// # Damping
//
// The loads are as old as the reports. They show the effect of the shares at that time, not of
// the present ones, so the demand is estimated with the shares of that time: otherwise the shares
// would go on growing until a report shows their effect, and then shrink too far. Shares change
// by a bounded amount a second, and shrink more slowly than they grow: a request that left without
// need is slower by a round trip, one that stayed too long may be late. Where the own data centre
// loses servers, or a destination has none left, the shares change at once.
package locality

import (
	"time"

	"cicadaloom/internal/domain/ident"
)

const (
	// maxReadingAge is the age of a reading beyond which a plan is not used any more.
	maxReadingAge = 3 * time.Second
	// minSmoothingTime is the shortest time constant of the moving averages of loads, which vary
	// with each request. maxShownTime is how far back the shares are kept beyond a reading.
	minSmoothingTime = 300 * time.Millisecond
	maxShownTime     = 10 * time.Second
	// queueAdjustTime is the time in which a queue is brought to the length that is accepted:
	// longer than reports are late, or the shares would swing.
	queueAdjustTime = 2 * time.Second
	// roomShare is the part of a data centre's slots up to which it takes requests of others: the
	// rest is for its own demand, which varies.
	roomShare = 0.85
	// maxLeaveRate and maxReturnRate bound the change of the share that leaves, a second.
	maxLeaveRate  = 0.8
	maxReturnRate = 0.2
	// minLeavingShare is the smallest share that leaves: smaller ones are noise of the loads.
	minLeavingShare = 0.03
	// probeShare is the share for a data centre whose load isn't known: enough to hear of it.
	probeShare = 0.03
	// maxKnownShare bounds the share from which demand is inferred: where nearly all requests
	// leave, the load that stays says little.
	maxKnownShare = 0.9
	// almostAll is a share of 1, less what rounding takes.
	almostAll = 1 - 1e-6
	// maxStep bounds the time for which one update changes the shares: a host with few requests
	// has read little since the last one.
	maxStep = 250 * time.Millisecond
)

// DataCentre is what a host knows of the servers of one data centre that can answer the requests
// of a service.
type DataCentre struct {
	Name ident.DataCentre
	// Slots is how many requests the servers that accept requests run at once.
	Slots float64
	// Load is how many requests run or wait there, of all hosts.
	Load float64
	// IsLoadUnknown is whether the host has not heard of others' requests there lately.
	IsLoadUnknown bool
	// PathCost is what leaving for the data centre costs a request: the round trip, and the
	// price of the traffic as a time that it is worth.
	PathCost time.Duration
	// LinkRate is how many requests a second may take the path; 0 for no bound.
	LinkRate float64
}

// Reading is the state of all data centres at an instant.
type Reading struct {
	// Own is the data centre of the host.
	Own    ident.DataCentre
	ReadAt time.Time
	// ServiceTime is how long a server takes for a request.
	ServiceTime time.Duration
	DataCentres []DataCentre
}

// Share is the part of a data centre's requests that goes to one data centre.
type Share struct {
	DataCentre ident.DataCentre
	Part       float64
}

// pastShare is the share of requests that left from an instant on.
type pastShare struct {
	at      time.Time
	leaving float64
}

// Planner holds the shares of one service on one host.
type Planner struct {
	own       ident.DataCentre
	updatedAt time.Time
	readAt    time.Time
	// parts are the shares of the other data centres; the own one has the rest.
	parts map[ident.DataCentre]float64
	// order lists the data centres of parts by name.
	order []ident.DataCentre
	loads map[ident.DataCentre]float64
	// growth is by how many requests a second the own queue grows.
	growth float64
	// ownSlots is the room of the own data centre at the last update.
	ownSlots float64
	past     []pastShare
	changes  int
}

// Draw returns the data centre for one request, by the shares. It reports false if there is no
// plan, or one that rests on old news. random holds random bits.
func (p *Planner) Draw(now time.Time, random uint64) (ident.DataCentre, bool) {
	if !p.IsCurrent(now) {
		return "", false
	}
	drawn := float64(random>>11) / (1 << 53)
	for _, name := range p.order {
		if drawn < p.parts[name] {
			return name, true
		}
		drawn -= p.parts[name]
	}
	return p.own, true
}

// IsCurrent reports whether there is a plan that rests on recent news.
func (p *Planner) IsCurrent(now time.Time) bool {
	return !p.readAt.IsZero() && now.Sub(p.readAt) <= maxReadingAge
}

// Leaving returns the share of requests that leave the data centre.
func (p *Planner) Leaving() float64 {
	leaving := 0.0
	for _, name := range p.order {
		leaving += p.parts[name]
	}
	return min(leaving, 1)
}

// Shares returns the shares of all data centres, the own one first.
func (p *Planner) Shares() []Share {
	if p.readAt.IsZero() {
		return nil
	}
	shares := []Share{{
		DataCentre: p.own,
		Part:       1 - p.Leaving(),
	}}
	for _, name := range p.order {
		shares = append(shares, Share{
			DataCentre: name,
			Part:       p.parts[name],
		})
	}
	return shares
}

// Changes counts how often leaving started or ended.
func (p *Planner) Changes() int {
	return p.changes
}
