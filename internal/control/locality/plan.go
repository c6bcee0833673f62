package locality

import (
	"cmp"
	"math"
	"slices"
	"time"

	"cicadaloom/internal/domain/ident"
)

// Update moves the shares towards what a reading calls for. Readings must come in the order of
// now; one that is older than the last is ignored.
func (p *Planner) Update(now time.Time, reading Reading) {
	if reading.ReadAt.Before(p.readAt) {
		return
	}
	if !p.IsCurrent(now) {
		p.restart()
	}
	step := max(now.Sub(p.updatedAt), 0)
	isFirst := p.updatedAt.IsZero()
	p.own, p.updatedAt, p.readAt = reading.Own, now, reading.ReadAt
	centres := p.smooth(&reading, step, isFirst)
	own := DataCentre{
		Name: reading.Own,
	}
	if at := slices.IndexFunc(centres, func(c DataCentre) bool { return c.Name == reading.Own }); at >= 0 {
		own = centres[at]
		centres = slices.Delete(centres, at, at+1)
	}
	lostServers := own.Slots < p.ownSlots
	p.ownSlots = own.Slots
	wasLeaving := p.Leaving() > 0
	target := p.findTarget(own, centres, &reading, lostServers)
	p.dropGone(centres)
	staysWithoutServers := own.Slots <= 0 && p.Leaving() < almostAll
	if staysWithoutServers || lostServers && sum(target) > p.Leaving() {
		p.parts = target
	} else {
		p.approach(target, min(step, maxStep))
	}
	p.recordShare(now)
	if wasLeaving != (p.Leaving() > 0) {
		p.changes++
	}
}

// restart forgets a plan that has ended: no request has followed its shares since then, and the loads
// show nothing of them.
func (p *Planner) restart() {
	changes := p.changes
	if p.Leaving() > 0 {
		changes++
	}
	*p = Planner{
		changes: changes,
	}
}

// smooth returns the data centres sorted by path and name, with averaged loads. It keeps by how
// much the own load grows in a second.
func (p *Planner) smooth(reading *Reading, step time.Duration, isFirst bool) []DataCentre {
	smoothing := smoothingTime(reading.ServiceTime).Seconds()
	weight := 1 - math.Exp(-step.Seconds()/smoothing)
	loads := make(map[ident.DataCentre]float64, len(reading.DataCentres))
	result := slices.Clone(reading.DataCentres)
	slices.SortFunc(result, func(a, b DataCentre) int {
		return cmp.Or(cmp.Compare(a.PathCost, b.PathCost), cmp.Compare(a.Name, b.Name))
	})
	p.growth = 0
	for i := range result {
		centre := &result[i]
		known, isKnown := p.loads[centre.Name]
		if isKnown && !isFirst {
			if centre.Name == reading.Own && centre.Load > centre.Slots {
				p.growth = (centre.Load - known) / max(smoothing, step.Seconds())
			}
			centre.Load = known + (centre.Load-known)*weight
		}
		loads[centre.Name] = centre.Load
	}
	p.loads = loads
	return result
}

// smoothingTime is the time constant of the averages of loads: requests that take long change
// them slowly.
func smoothingTime(serviceTime time.Duration) time.Duration {
	return max(serviceTime, minSmoothingTime)
}

// findTarget returns the shares that the excess of the own data centre calls for. Where servers have
// just been lost, the load still shows what all servers had.
func (p *Planner) findTarget(own DataCentre, others []DataCentre, reading *Reading, lostServers bool) map[ident.DataCentre]float64 {
	if own.Slots <= 0 {
		return shareRoom(others)
	}
	// The loads that are averaged now have come in since then.
	shownAt := reading.ReadAt.Add(-smoothingTime(reading.ServiceTime))
	stayed := 1 - min(p.leavingAt(shownAt), maxKnownShare)
	part := contestedPart(&own, others)
	target := make(map[ident.DataCentre]float64, len(others))
	sent := 0.0
	for start := 0; start < len(others); {
		end := start + 1
		for end < len(others) && others[end].PathCost == others[start].PathCost {
			end++
		}
		needed := p.estimateDemand(&own, others[start].PathCost, reading.ServiceTime)
		if lostServers {
			needed = own.Load
		}
		excess := needed/stayed - own.Slots
		demand := own.Slots + max(excess, 0)
		offers, offered := p.collectOffers(others[start:end], demand, part, reading.ServiceTime)
		wanted := min(max(excess-sent, 0), offered)
		for i, offer := range offers {
			if wanted > 0 && offer > 0 {
				target[others[start+i].Name] = wanted * offer / offered / demand
			}
		}
		sent += wanted
		start = end
	}
	return target
}

// estimateDemand is how many slots the requests that stay need, so that none waits longer than a
// path costs: those in use, what the queue grows by, and what brings it to that length.
func (p *Planner) estimateDemand(own *DataCentre, pathCost, serviceTime time.Duration) float64 {
	queue := max(own.Load-own.Slots, 0)
	needed := min(own.Load, own.Slots) + p.growth*serviceTime.Seconds()
	if serviceTime <= 0 {
		return needed + queue
	}
	accepted := own.Slots * pathCost.Seconds() / serviceTime.Seconds()
	return needed + (queue-accepted)*serviceTime.Seconds()/queueAdjustTime.Seconds()
}

// contestedPart is the part of the free room of others that falls to the own data centre: its
// queue over the queues of all. Data centres of which nothing is known count as no less busy than
// the own one.
func contestedPart(own *DataCentre, others []DataCentre) float64 {
	queue := max(own.Load-roomShare*own.Slots, 0)
	if queue == 0 {
		return 0
	}
	all := queue
	for i := range others {
		load := others[i].Load
		if others[i].IsLoadUnknown {
			load = own.Load * others[i].Slots / own.Slots
		}
		all += max(load-roomShare*others[i].Slots, 0)
	}
	return queue / all
}

// collectOffers returns how many requests in flight each data centre can take from the own one:
// what it has of them already, and a part of its free room. One that has a queue itself takes
// fewer than it has.
func (p *Planner) collectOffers(centres []DataCentre, demand, part float64, serviceTime time.Duration) ([]float64, float64) {
	offers := make([]float64, len(centres))
	offered := 0.0
	for i := range centres {
		centre := &centres[i]
		if centre.Slots <= 0 {
			continue
		}
		has := p.parts[centre.Name] * demand
		offer := has + part*max(roomShare*centre.Slots-centre.Load, 0)
		switch {
		case centre.IsLoadUnknown:
			offer = probeShare * demand
		case centre.Load > centre.Slots:
			offer = has * centre.Slots / centre.Load
		}
		if centre.LinkRate > 0 {
			offer = min(offer, centre.LinkRate*serviceTime.Seconds())
		}
		offers[i] = offer
		offered += offer
	}
	return offers, offered
}

// shareRoom divides all requests among data centres: by their free room among those of the
// shortest path that have any, and else by their slots.
func shareRoom(centres []DataCentre) map[ident.DataCentre]float64 {
	rooms := make([]float64, len(centres))
	total := 0.0
	for i := range centres {
		if total > 0 && centres[i].PathCost > centres[i-1].PathCost {
			break
		}
		rooms[i] = max(centres[i].Slots-centres[i].Load, 0)
		total += rooms[i]
	}
	if total == 0 {
		for i := range centres {
			rooms[i] = max(centres[i].Slots, 0)
			total += rooms[i]
		}
	}
	target := make(map[ident.DataCentre]float64, len(centres))
	for i, room := range rooms {
		if room > 0 {
			target[centres[i].Name] = room / total
		}
	}
	return target
}

// dropGone takes back the shares of data centres that have no servers any more.
func (p *Planner) dropGone(centres []DataCentre) {
	for name := range p.parts {
		hasServers := slices.ContainsFunc(centres, func(c DataCentre) bool { return c.Name == name && c.Slots > 0 })
		if !hasServers {
			delete(p.parts, name)
		}
	}
}

// approach changes the shares towards a target by no more than the rates allow.
func (p *Planner) approach(target map[ident.DataCentre]float64, step time.Duration) {
	if wanted := sum(target); wanted < minLeavingShare && p.Leaving() <= minLeavingShare {
		p.parts = nil
		p.setOrder()
		return
	}
	next := make(map[ident.DataCentre]float64, len(target)+len(p.parts))
	grown, shrunk := 0.0, 0.0
	for _, name := range mergedNames(p.parts, target) {
		change := target[name] - p.parts[name]
		grown += max(change, 0)
		shrunk += max(-change, 0)
	}
	growing := scaleTo(grown, maxLeaveRate*step.Seconds())
	shrinking := scaleTo(shrunk, maxReturnRate*step.Seconds())
	for _, name := range mergedNames(p.parts, target) {
		change := target[name] - p.parts[name]
		if change > 0 {
			change *= growing
		} else {
			change *= shrinking
		}
		if part := p.parts[name] + change; part > 1e-6 {
			next[name] = part
		}
	}
	if total := sum(next); total > 1 {
		for name := range next {
			next[name] /= total
		}
	}
	p.parts = next
	p.setOrder()
}

// scaleTo is the factor that brings an amount down to a bound.
func scaleTo(amount, bound float64) float64 {
	if amount <= bound {
		return 1
	}
	return bound / amount
}

// recordShare remembers the share that leaves from now on.
func (p *Planner) recordShare(now time.Time) {
	p.setOrder()
	oldest := now.Add(-maxReadingAge - maxShownTime)
	for len(p.past) > 1 && !p.past[1].at.After(oldest) {
		p.past = p.past[1:]
	}
	p.past = append(p.past, pastShare{
		at:      now,
		leaving: p.Leaving(),
	})
}

// leavingAt is the share that left at an instant.
func (p *Planner) leavingAt(at time.Time) float64 {
	leaving := 0.0
	for _, past := range p.past {
		if past.at.After(at) {
			break
		}
		leaving = past.leaving
	}
	return leaving
}

func (p *Planner) setOrder() {
	p.order = p.order[:0]
	for name := range p.parts {
		p.order = append(p.order, name)
	}
	slices.Sort(p.order)
}

func mergedNames(a, b map[ident.DataCentre]float64) []ident.DataCentre {
	names := make([]ident.DataCentre, 0, len(a)+len(b))
	for name := range a {
		names = append(names, name)
	}
	for name := range b {
		names = append(names, name)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// sum adds in the order of names, so that all hosts round alike.
func sum(parts map[ident.DataCentre]float64) float64 {
	total := 0.0
	for _, name := range mergedNames(parts, nil) {
		total += parts[name]
	}
	return total
}
