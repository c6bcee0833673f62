package locality

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"cicadaloom/internal/domain/ident"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

const (
	serviceTime = 20 * time.Millisecond
	tick        = 10 * time.Millisecond
	// objective is the time in which callers of the simulated service want their answers.
	objective = 200 * time.Millisecond
	nearPath  = 8 * time.Millisecond
	farPath   = 120 * time.Millisecond
)

// site is a simulated data centre: a queue before its slots, and the hosts that send to it.
type site struct {
	name   ident.DataCentre
	region int
	slots  func(at time.Duration) int
	rate   func(at time.Duration) float64
	hosts  []*Planner

	waiting []job
	running jobs

	// What the callers of this data centre got, and where their requests went.
	asked, inTime, left int
	// What was asked, in time and left in each second.
	askedBySecond, inTimeBySecond, leftBySecond []int
}

type job struct {
	origin  *site
	arrived time.Duration
	path    time.Duration
	endAt   time.Duration
}

type jobs []job

func (j jobs) Len() int           { return len(j) }
func (j jobs) Less(a, b int) bool { return j[a].endAt < j[b].endAt }
func (j jobs) Swap(a, b int)      { j[a], j[b] = j[b], j[a] }
func (j *jobs) Push(x any)        { *j = append(*j, x.(job)) }
func (j *jobs) Pop() any {
	last := (*j)[len(*j)-1]
	*j = (*j)[:len(*j)-1]
	return last
}

type reported struct {
	slots, load float64
}

// fleet simulates data centres whose hosts read reports of a given age.
type fleet struct {
	sites     []*site
	random    *rand.Rand
	reportAge func(host int) time.Duration
	link      float64
	reports   [][]reported // by tick
	stays     bool         // requests never leave, to compare with
	// heard is what a host has last heard of each data centre by its own answers, if hosts hear
	// of loads in no other way.
	heard map[*Planner][]heardLoad
	// isCut is whether a host of a data centre can't reach another one, hearsNothing whether no
	// report reaches it; nil for never.
	isCut        func(own *site, host int, other *site, at time.Duration) bool
	hearsNothing func(own *site, host int, at time.Duration) bool
}

type heardLoad struct {
	load float64
	at   time.Duration
}

func steady(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

func slots(count int) func(time.Duration) int {
	return func(time.Duration) int { return count }
}

func newFleet(seed uint64, sites, hosts int) *fleet {
	f := &fleet{
		random:    rand.New(rand.NewPCG(seed, 1)),
		reportAge: func(host int) time.Duration { return time.Duration(100+300*(host%3)) * time.Millisecond },
	}
	for i := range sites {
		s := &site{
			name:   ident.DataCentre(fmt.Sprint("d", i)),
			region: i % 2,
			slots:  slots(12),
			rate:   steady(400),
		}
		for range hosts {
			s.hosts = append(s.hosts, &Planner{})
		}
		f.sites = append(f.sites, s)
	}
	return f
}

// run plays the simulation for a time.
func (f *fleet) run(length time.Duration) {
	for at := time.Duration(0); at < length; at += tick {
		row := make([]reported, 0, len(f.sites))
		for _, s := range f.sites {
			row = append(row, reported{
				slots: float64(s.slots(at)),
				load:  float64(len(s.waiting) + len(s.running)),
			})
		}
		f.reports = append(f.reports, row)
		if at%(100*time.Millisecond) == 0 && f.heard == nil && !f.stays {
			f.updatePlans(at)
		}
		for _, s := range f.sites {
			f.arrive(s, at)
		}
		for _, s := range f.sites {
			s.serve(at)
		}
	}
}

func (f *fleet) updatePlans(at time.Duration) {
	for _, s := range f.sites {
		for i, planner := range s.hosts {
			if f.hearsNothing != nil && f.hearsNothing(s, i, at) {
				continue
			}
			reading := f.reading(s, max(at-f.reportAge(i), 0))
			f.removeUnreached(&reading, s, i, at)
			planner.Update(start.Add(at), reading)
		}
	}
}

// removeUnreached takes out the slots of data centres that a host is cut off from.
func (f *fleet) removeUnreached(reading *Reading, own *site, host int, at time.Duration) {
	for i, other := range f.sites {
		if f.isCut != nil && f.isCut(own, host, other, at) {
			reading.DataCentres[i].Slots = 0
		}
	}
}

func (f *fleet) reading(own *site, readAt time.Duration) Reading {
	reading := Reading{
		Own:         own.name,
		ReadAt:      start.Add(readAt),
		ServiceTime: serviceTime,
	}
	for i, s := range f.sites {
		report := f.reports[readAt/tick][i]
		centre := DataCentre{
			Name:  s.name,
			Slots: report.slots,
			Load:  report.load,
		}
		if s != own {
			centre.PathCost = pathBetween(own, s)
		}
		if s.region != own.region {
			centre.LinkRate = f.link
		}
		reading.DataCentres = append(reading.DataCentres, centre)
	}
	return reading
}

// hear notes the load of the data centre that answers a host's request.
func (f *fleet) hear(host *Planner, target *site, at time.Duration) {
	if f.heard == nil {
		return
	}
	if f.heard[host] == nil {
		f.heard[host] = make([]heardLoad, len(f.sites))
	}
	for i, s := range f.sites {
		if s == target {
			f.heard[host][i] = heardLoad{
				load: float64(len(s.waiting) + len(s.running)),
				at:   at + tick,
			}
		}
	}
}

// updateByAnswers updates the plan of a host by what it has heard.
func (f *fleet) updateByAnswers(own *site, hostIndex int, at time.Duration) {
	host := own.hosts[hostIndex]
	heard := f.heard[host]
	if heard == nil || start.Add(at).Sub(host.updatedAt) < 100*time.Millisecond {
		return
	}
	reading := f.reading(own, at)
	for i, s := range f.sites {
		centre := &reading.DataCentres[i]
		centre.Load = heard[i].load
		if centre.IsLoadUnknown = heard[i].at == 0 || at-heard[i].at > maxReadingAge; centre.IsLoadUnknown {
			centre.Load = 0
		}
		if s == own {
			reading.ReadAt = start.Add(heard[i].at)
		}
	}
	f.removeUnreached(&reading, own, hostIndex, at)
	if start.Add(at).Sub(reading.ReadAt) <= maxReadingAge {
		host.Update(start.Add(at), reading)
	}
}

func pathBetween(a, b *site) time.Duration {
	switch {
	case a == b:
		return 0
	case a.region == b.region:
		return nearPath
	default:
		return farPath
	}
}

func (f *fleet) arrive(s *site, at time.Duration) {
	count := f.poisson(s.rate(at) * tick.Seconds())
	second := int(at / time.Second)
	for len(s.askedBySecond) <= second {
		s.askedBySecond = append(s.askedBySecond, 0)
		s.leftBySecond = append(s.leftBySecond, 0)
		s.inTimeBySecond = append(s.inTimeBySecond, 0)
	}
	for range count {
		target := s
		hostIndex := f.random.IntN(len(s.hosts))
		host := s.hosts[hostIndex]
		f.updateByAnswers(s, hostIndex, at)
		if name, planned := host.Draw(start.Add(at), f.random.Uint64()); planned && !f.stays {
			for _, other := range f.sites {
				if other.name == name && (f.isCut == nil || !f.isCut(s, hostIndex, other, at)) {
					target = other
				}
			}
		}
		f.hear(host, target, at)
		s.asked++
		s.askedBySecond[second]++
		if target != s {
			s.left++
			s.leftBySecond[second]++
		}
		target.waiting = append(target.waiting, job{
			origin:  s,
			arrived: at,
			path:    pathBetween(s, target),
		})
	}
}

func (f *fleet) poisson(mean float64) int {
	count, product, limit := 0, f.random.Float64(), math.Exp(-mean)
	for product > limit {
		count++
		product *= f.random.Float64()
	}
	return count
}

// serve ends what is done by now and starts what there are slots for.
func (s *site) serve(at time.Duration) {
	for len(s.running) > 0 && s.running[0].endAt <= at {
		heap.Pop(&s.running)
	}
	kept := s.waiting[:0]
	for _, j := range s.waiting {
		waited := at - j.arrived
		switch {
		case waited > 4*time.Second: // its caller has left
		case len(s.running) < s.slots(at):
			j.endAt = at + serviceTime
			heap.Push(&s.running, j)
			if waited+j.path+serviceTime <= objective {
				j.origin.inTime++
				j.origin.inTimeBySecond[j.arrived/time.Second]++
			}
		default:
			kept = append(kept, j)
		}
	}
	s.waiting = kept
}

func (s *site) inTimeShare() float64 { return float64(s.inTime) / float64(max(s.asked, 1)) }
func (s *site) leftShare() float64   { return float64(s.left) / float64(max(s.asked, 1)) }

// inTimeShare is the share of all callers' requests that were in time.
func (f *fleet) inTimeShare() float64 {
	inTime, asked := 0, 0
	for _, s := range f.sites {
		inTime += s.inTime
		asked += s.asked
	}
	return float64(inTime) / float64(max(asked, 1))
}

// leftIn is the share that left between two seconds, inTimeIn that which was in time.
func (s *site) leftIn(from, to int) float64   { return s.shareIn(s.leftBySecond, from, to) }
func (s *site) inTimeIn(from, to int) float64 { return s.shareIn(s.inTimeBySecond, from, to) }

func (s *site) shareIn(bySecond []int, from, to int) float64 {
	counted, asked := 0, 0
	for second := from; second < min(to, len(s.askedBySecond)); second++ {
		counted += bySecond[second]
		asked += s.askedBySecond[second]
	}
	return float64(counted) / float64(max(asked, 1))
}

// leftRange returns the smallest and largest share that left in one second.
func (s *site) leftRange(from, to int) (float64, float64) {
	least, most := 1.0, 0.0
	for second := from; second < to; second++ {
		share := s.leftIn(second, second+1)
		least, most = min(least, share), max(most, share)
	}
	return least, most
}

func (s *site) largestLeft() float64 {
	_, most := s.leftRange(0, len(s.askedBySecond))
	return most
}
