package demand

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"cicadaloom/internal/domain/document"
	"cicadaloom/internal/domain/ident"
)

// Span is one load: its seed and when it begins and ends.
type Span struct {
	Seed  uint64
	Start time.Time
	End   time.Time
}

// stream of PCG: any constant will do, it only has to stay the same.
const pcgStream = 0x10ad

// Arrivals makes the requests of a plan in the order of their arrival. It
// belongs to one goroutine.
type Arrivals struct {
	plan   *Plan
	span   Span
	random *rand.Rand
	items  []item
	// peak is the greatest rate that the plan ever has, a second.
	peak    float64
	next    time.Time
	number  int
	again   *Request
	classes float64
	lengths float64
}

// item is one model or service with its rate before the curve.
type item struct {
	name    string
	rate    float64
	curved  bool
	model   *Model
	service *Service
}

// New begins the requests of a plan.
func New(plan Plan, span Span) *Arrivals {
	a := &Arrivals{
		plan:   &plan,
		span:   span,
		random: rand.New(rand.NewPCG(span.Seed, pcgStream)),
		next:   span.Start,
	}
	a.addItems()
	for _, class := range plan.Classes {
		a.classes += class.Weight
	}
	for _, length := range plan.Lengths {
		a.lengths += length.Weight
	}
	return a
}

func (a *Arrivals) addItems() {
	p := a.plan
	for i := range p.Models {
		a.items = append(a.items, item{
			name:  string(p.Models[i].Name),
			rate:  p.Models[i].Weight,
			model: &p.Models[i],
		})
	}
	for i := range p.Services {
		a.items = append(a.items, item{
			name:    string(p.Services[i].Name),
			rate:    p.Services[i].Weight,
			service: &p.Services[i],
		})
	}
	total := 0.0
	for _, one := range a.items {
		total += one.rate
	}
	for i := range a.items {
		one := &a.items[i]
		one.rate *= p.RequestsPerSecond / total
		one.curved = p.Curve.Only == "" || p.Curve.Only == one.name
		a.peak += one.rate * a.greatest(one)
	}
}

// greatest is the greatest value that the curve of an item ever has.
func (a *Arrivals) greatest(one *item) float64 {
	if one.curved && a.plan.Curve.Kind == Burst {
		return max(1, a.plan.Curve.Factor)
	}
	return 1
}

// at gives the curve's value at an instant.
func (c *Curve) at(since time.Duration) float64 {
	switch c.Kind {
	case Night:
		turn := 2 * math.Pi * since.Seconds() / c.Period.Seconds()
		return 0.75 + 0.25*math.Cos(turn)
	case Burst:
		if since >= c.From && since < c.From+c.For {
			return c.Factor
		}
	}
	return 1
}

func (a *Arrivals) rate(one *item, since time.Duration) float64 {
	if !one.curved {
		return one.rate
	}
	return one.rate * a.plan.Curve.at(since)
}

// Next gives the next request, or false at the end of the span.
func (a *Arrivals) Next() (Request, bool) {
	if a.again != nil {
		again := *a.again
		a.again = nil
		return again, true
	}
	if a.peak <= 0 {
		return Request{}, false
	}
	for {
		gap := a.random.ExpFloat64() / a.peak
		a.next = a.next.Add(time.Duration(gap * float64(time.Second)))
		if !a.next.Before(a.span.End) {
			return Request{}, false
		}
		if one := a.thin(a.next.Sub(a.span.Start)); one != nil {
			return a.request(one), true
		}
	}
}

// thin draws whose arrival a candidate is, or nil for nobody's.
func (a *Arrivals) thin(since time.Duration) *item {
	left := a.random.Float64() * a.peak
	for i := range a.items {
		left -= a.rate(&a.items[i], since)
		if left < 0 {
			return &a.items[i]
		}
	}
	return nil
}

func (a *Arrivals) request(one *item) Request {
	a.number++
	marker := fmt.Sprintf("q%08x-%07d", uint32(a.span.Seed), a.number)
	length := a.length()
	request := Request{
		ID:       ident.RequestID("load-" + marker),
		At:       a.next,
		Deadline: a.next.Add(a.plan.Timeout),
		Class:    a.class(),
		Name:     one.name,
		Marker:   marker,
		Message:  marker + " " + words(a.random, length.Words),
		Dice:     a.random.Uint64(),
	}
	keys := a.fill(&request, one, length)
	if a.chance(keys.Percent) {
		request.Key = ident.IdempotencyKey("key-" + marker)
		if a.chance(keys.TwicePercent) {
			a.repeat(request)
		}
	}
	return request
}

// fill gives a request what only models or only services have.
func (a *Arrivals) fill(request *Request, one *item, length Length) Keys {
	if one.service != nil {
		request.Promise = document.Promise{
			FirstToken: one.service.Promise.FirstToken,
		}
		request.Service = &Call{
			Method: one.service.Method,
			Path:   one.service.Path,
		}
		return one.service.Keys
	}
	request.Promise = one.model.Promise
	if a.chance(one.model.AdapterPercent) {
		request.Name = string(one.model.Adapters[a.random.IntN(len(one.model.Adapters))])
	}
	request.Chat = &Chat{
		Prefix: a.prefix(one.name),
		Tokens: length.Tokens,
		Stream: a.chance(one.model.StreamedPercent),
	}
	return one.model.Keys
}

// repeat makes the second sending of a request: the same in all but its id.
func (a *Arrivals) repeat(request Request) {
	request.ID += "-again"
	request.Dice = a.random.Uint64()
	a.again = &request
}

func (a *Arrivals) chance(percent int) bool {
	return a.random.IntN(wholePercent) < percent
}

func (a *Arrivals) class() ident.ClassName {
	left := a.random.Float64() * a.classes
	for _, class := range a.plan.Classes {
		left -= class.Weight
		if left < 0 {
			return class.Name
		}
	}
	return ""
}

func (a *Arrivals) length() Length {
	left := a.random.Float64() * a.lengths
	for _, length := range a.plan.Lengths {
		left -= length.Weight
		if left < 0 {
			return length
		}
	}
	return a.plan.Lengths[len(a.plan.Lengths)-1]
}
