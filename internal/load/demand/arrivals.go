package demand

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"cicadaloom/internal/domain/document"
	"cicadaloom/internal/domain/ident"
)

// Span is one load run: its seed, and when it starts and ends.
type Span struct {
	Seed  uint64
	Start time.Time
	End   time.Time
}

// pcgStream is the second seed of the PCG generators. Any value will do, but a
// changed one gives other requests for the same seed.
const pcgStream = 0x10ad

// Arrivals generates the requests of a plan in the order of their arrival. It is
// not safe for concurrent use.
type Arrivals struct {
	plan      *Plan
	span      Span
	random    *rand.Rand
	endpoints []endpoint
	// peakRate is the maximum rate of the plan, in requests per second.
	peakRate    float64
	nextArrival time.Time
	numMade     int
	// pendingRepeat, if set, is the duplicate to return as the next request.
	pendingRepeat     *Request
	totalClassWeight  float64
	totalLengthWeight float64
}

// endpoint is one model or service with its base rate, in requests per second
// before the curve is applied.
type endpoint struct {
	name         string
	rate         float64
	followsCurve bool
	model        *Model
	service      *Service
}

// NewArrivals returns the arrivals of a plan within a span.
func NewArrivals(plan Plan, span Span) *Arrivals {
	a := &Arrivals{
		plan:        &plan,
		span:        span,
		random:      rand.New(rand.NewPCG(span.Seed, pcgStream)),
		nextArrival: span.Start,
	}
	a.addEndpoints()
	for _, class := range plan.Classes {
		a.totalClassWeight += class.Weight
	}
	for _, length := range plan.Lengths {
		a.totalLengthWeight += length.Weight
	}
	return a
}

func (a *Arrivals) addEndpoints() {
	p := a.plan
	for i := range p.Models {
		a.endpoints = append(a.endpoints, endpoint{
			name:  string(p.Models[i].Name),
			rate:  p.Models[i].Weight,
			model: &p.Models[i],
		})
	}
	for i := range p.Services {
		a.endpoints = append(a.endpoints, endpoint{
			name:    string(p.Services[i].Name),
			rate:    p.Services[i].Weight,
			service: &p.Services[i],
		})
	}
	total := 0.0
	for _, target := range a.endpoints {
		total += target.rate
	}
	for i := range a.endpoints {
		target := &a.endpoints[i]
		target.rate *= p.RequestsPerSecond / total
		target.followsCurve = p.Curve.Only == "" || p.Curve.Only == target.name
		a.peakRate += target.rate * a.maxMultiplier(target)
	}
}

// maxMultiplier returns the maximum factor that the curve applies to an endpoint.
func (a *Arrivals) maxMultiplier(target *endpoint) float64 {
	if target.followsCurve && a.plan.Curve.Kind == Burst {
		return max(1, a.plan.Curve.Factor)
	}
	return 1
}

// multiplierAt returns the factor of the rate at a time since the start of the span.
func (c *Curve) multiplierAt(since time.Duration) float64 {
	switch c.Kind {
	case Night:
		angle := 2 * math.Pi * since.Seconds() / c.Period.Seconds()
		return 0.75 + 0.25*math.Cos(angle)
	case Burst:
		if since >= c.From && since < c.From+c.For {
			return c.Factor
		}
	}
	return 1
}

// rate returns the rate of an endpoint at a time since the start of the span.
func (a *Arrivals) rate(target *endpoint, since time.Duration) float64 {
	if !target.followsCurve {
		return target.rate
	}
	return target.rate * a.plan.Curve.multiplierAt(since)
}

// Next returns the next request, or false at the end of the span.
func (a *Arrivals) Next() (Request, bool) {
	if a.pendingRepeat != nil {
		repeat := *a.pendingRepeat
		a.pendingRepeat = nil
		return repeat, true
	}
	if a.peakRate <= 0 {
		return Request{}, false
	}
	for {
		gap := a.random.ExpFloat64() / a.peakRate
		a.nextArrival = a.nextArrival.Add(time.Duration(gap * float64(time.Second)))
		if !a.nextArrival.Before(a.span.End) {
			return Request{}, false
		}
		if target := a.pickEndpoint(a.nextArrival.Sub(a.span.Start)); target != nil {
			return a.makeRequest(target), true
		}
	}
}

// pickEndpoint draws the endpoint of a candidate arrival, in proportion to the
// current rates, or nil where thinning drops the candidate.
func (a *Arrivals) pickEndpoint(since time.Duration) *endpoint {
	remaining := a.random.Float64() * a.peakRate
	for i := range a.endpoints {
		remaining -= a.rate(&a.endpoints[i], since)
		if remaining < 0 {
			return &a.endpoints[i]
		}
	}
	return nil
}

func (a *Arrivals) makeRequest(target *endpoint) Request {
	a.numMade++
	marker := fmt.Sprintf("q%08x-%07d", uint32(a.span.Seed), a.numMade)
	length := a.drawLength()
	request := Request{
		ID:       ident.RequestID("load-" + marker),
		At:       a.nextArrival,
		Deadline: a.nextArrival.Add(a.plan.Timeout),
		Class:    a.drawClass(),
		Name:     target.name,
		Marker:   marker,
		Message:  marker + " " + randomWords(a.random, length.Words),
		Random:   a.random.Uint64(),
	}
	keys := a.setEndpointFields(&request, target, length)
	if a.drawPercent(keys.Percent) {
		request.Key = ident.IdempotencyKey("key-" + marker)
		if a.drawPercent(keys.TwicePercent) {
			a.queueRepeat(request)
		}
	}
	return request
}

// setEndpointFields sets the fields that only models or only services have, and
// returns how often the endpoint uses idempotency keys.
func (a *Arrivals) setEndpointFields(request *Request, target *endpoint, length Length) IdempotencyKeys {
	if target.service != nil {
		request.Promise = document.Promise{
			FirstToken: target.service.Promise.FirstToken,
		}
		request.Service = &Call{
			Method: target.service.Method,
			Path:   target.service.Path,
		}
		return target.service.Keys
	}
	request.Promise = target.model.Promise
	if a.drawPercent(target.model.AdapterPercent) {
		request.Name = string(target.model.Adapters[a.random.IntN(len(target.model.Adapters))])
	}
	request.Chat = &Chat{
		Prefix: a.drawPrefix(target.name),
		Tokens: length.Tokens,
		Stream: a.drawPercent(target.model.StreamedPercent),
	}
	return target.model.Keys
}

// queueRepeat sets the duplicate of a request as the next one: it differs in ID
// and random bits only.
func (a *Arrivals) queueRepeat(request Request) {
	request.ID += "-again"
	request.Random = a.random.Uint64()
	a.pendingRepeat = &request
}

// drawPercent returns true with a probability of percent in a hundred.
func (a *Arrivals) drawPercent(percent int) bool {
	return a.random.IntN(fullPercent) < percent
}

func (a *Arrivals) drawClass() ident.ClassName {
	remaining := a.random.Float64() * a.totalClassWeight
	for _, class := range a.plan.Classes {
		remaining -= class.Weight
		if remaining < 0 {
			return class.Name
		}
	}
	return ""
}

func (a *Arrivals) drawLength() Length {
	remaining := a.random.Float64() * a.totalLengthWeight
	for _, length := range a.plan.Lengths {
		remaining -= length.Weight
		if remaining < 0 {
			return length
		}
	}
	return a.plan.Lengths[len(a.plan.Lengths)-1]
}
