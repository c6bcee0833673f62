package balance

import (
	"slices"
	"time"

	"cicadaloom/internal/control/pacing"
	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/request"
	"cicadaloom/internal/domain/splitmix"
)

// Costs that stand for themselves.
const (
	// nearWay and farWay are the ways to another data centre of the region and of
	// another region and back, with a part for the price of the bytes.
	nearWay = 8 * time.Millisecond
	farWay  = 120 * time.Millisecond
	// perQueued is what each request over the places adds.
	perQueued = 60 * time.Millisecond
	// errorCost is what a server costs that fails every request.
	errorCost = 3 * time.Second
	// blur is the part of a cost that is random.
	blur = 0.3
)

// Weights of smoothing: a tenth of the newest for figures of a server, less for
// those of the whole service.
const (
	fastWeight = 0.1
	slowWeight = 0.02
)

// Ticket is one send to one server. Done ends it.
type Ticket struct {
	Server      ident.ServerName
	Incarnation ident.Incarnation
	Address     string
	// Reading is how long the server will read the prompt; zero for servers without
	// models.
	Reading time.Duration
	// Expected is the expected time to the first byte of the answer, from SendAt on.
	Expected time.Duration
	// SendAt is when the request is to be sent.
	SendAt time.Time

	pool   *Pool
	server *server
	ask    Ask
	// measures tells that the reading can be measured: nothing else of this host was to
	// be read there.
	measures bool
	// startedAt is when the first bytes of the answer came.
	startedAt time.Time
	started   bool
	ended     bool
}

// Take chooses a server and counts the request as under way there.
func (p *Pool) Take(now time.Time, ask Ask) (*Ticket, Verdict) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var best *server
	var lowest float64
	dice := ask.Dice
	verdict := p.eachOpen(now, &ask, func(s *server, usual float64) {
		dice = splitmix.Mix(dice)
		cost := float64(p.cost(s, &ask, usual)) * (1 + blur*float64(dice%1024)/1024)
		if best == nil || cost < lowest {
			best, lowest = s, cost
		}
	})
	if best == nil {
		return nil, verdict
	}
	return p.ticket(now, best, ask), Found
}

// Offers gives the engines that can answer a prompt now, for a pacer to choose among.
func (p *Pool) Offers(now time.Time, ask Ask) ([]pacing.Candidate, Verdict) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var offers []pacing.Candidate
	verdict := p.eachOpen(now, &ask, func(s *server, usual float64) {
		work := p.reading(ask.Weights.Model, s.unread(&ask))
		reading := time.Duration(work * float64(time.Second))
		offers = append(offers, pacing.Candidate{
			Server:  s.known.Name,
			Region:  s.known.Region,
			Reading: reading,
			Beside:  p.beside(s, reading, usual),
			Places:  s.known.Slots,
		})
	})
	if len(offers) > 0 {
		verdict = Found
	}
	return offers, verdict
}

// beside is what it costs to ask an engine beside the reading of the prompt and what
// runs there, both of which its pacer knows: the way, errors over the usual share, and
// how much slower than expected it answers.
func (p *Pool) beside(s *server, reading time.Duration, usualErrors float64) time.Duration {
	slower := max(s.slowness-1, 0) * float64(reading+time.Duration(s.load())*pacing.PerRunning)
	return p.way(s) + s.errorCost(usualErrors) + time.Duration(slower)
}

// Hold counts a request as under way at the server that was chosen among the offers,
// where it is to be sent at the slot's instant. It gives nil where that server takes no
// more by now.
func (p *Pool) Hold(now time.Time, ask Ask, slot pacing.Slot) *Ticket {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, known := p.servers[slot.Server]
	if !known || !p.canAnswer(s, &ask) || !s.takes(now, p.perServer) {
		return nil
	}
	return p.ticket(slot.At, s, ask)
}

func (p *Pool) ticket(sendAt time.Time, s *server, ask Ask) *Ticket {
	work := p.reading(ask.Weights.Model, s.unread(&ask))
	ticket := &Ticket{
		Server:      s.known.Name,
		Incarnation: s.known.Incarnation,
		Address:     s.known.Address,
		Expected:    p.expected(s, work) + p.way(s),
		pool:        p,
		server:      s,
		ask:         ask,
		measures:    s.unstarted == 0 && ask.own() >= leastSample,
		SendAt:      sendAt,
	}
	if s.known.Kind == backend.KindEngine {
		ticket.Reading = time.Duration(work * float64(time.Second))
	}
	s.own++
	s.unstarted++
	s.probing = s.failures > 0
	return ticket
}

// eachOpen visits the servers that can take a request now. The verdict tells why where
// there are none.
func (p *Pool) eachOpen(now time.Time, ask *Ask, visit func(s *server, usualErrors float64)) Verdict {
	verdict := NoneHolds
	stays := p.modelStays(ask.Weights.Model)
	usual := p.usualErrors()
	for _, s := range p.list {
		if !p.canAnswer(s, ask) || stays && s.retiring[ask.Weights.Model] {
			continue
		}
		if verdict == NoneHolds && !s.known.Leaving {
			verdict = NoneTakes
		}
		if !s.takes(now, p.perServer) || slices.Contains(ask.Tried, s.known.Name) {
			continue
		}
		visit(s, usual)
	}
	return verdict
}

func (p *Pool) canAnswer(s *server, ask *Ask) bool {
	return s.known.Kind != backend.KindEngine || s.holds[ask.Weights]
}

// modelStays tells that a server holds a model and keeps it. Others that are about to
// unload it are not asked for it any more, nor for its adapters: they would refuse,
// again and again, while an adapter that nobody else holds comes to the one that
// stays as soon as it is missed.
func (p *Pool) modelStays(model ident.ModelName) bool {
	for _, s := range p.list {
		if !s.known.Leaving && !s.retiring[model] && s.holds[request.Weights{Model: model}] {
			return true
		}
	}
	return false
}

// cost is the expected time to the first byte with what else speaks against a
// server: errors over the usual share.
func (p *Pool) cost(s *server, ask *Ask, usualErrors float64) time.Duration {
	tokens := s.unread(ask)
	return p.expected(s, p.reading(ask.Weights.Model, tokens)) + p.way(s) + s.errorCost(usualErrors)
}

// errorCost is what a server costs that fails more than the usual share of requests.
func (s *server) errorCost(usual float64) time.Duration {
	return time.Duration(max(s.errors-usual, 0) * float64(errorCost))
}

func (p *Pool) way(s *server) time.Duration {
	switch {
	case s.known.DataCentre == p.place.DataCentre:
		return 0
	case s.known.Region == p.place.Region:
		return nearWay
	default:
		return farWay
	}
}

// reading is how long an engine takes to read tokens of a prompt, in seconds.
func (p *Pool) reading(model ident.ModelName, tokens float64) float64 {
	perToken, measured := p.perToken[model]
	if !measured {
		perToken = startPerToken
	}
	return tokens * perToken
}

// Weights of the measure of reading time, and its bounds in seconds a token. What
// is measured has waits in it that nobody told of, so a shorter time says more than
// a longer one.
const (
	shorterWeight = 0.3
	longerWeight  = 0.02
	leastPerToken = 4e-6
	mostPerToken  = 150e-6
	// stepTime is what an answer takes beside the reading, at a large model; of a
	// quick answer it is half at most.
	stepTime = 18 * time.Millisecond
)

// measureReading takes in how long the first token of an answer took that had at
// least so many tokens to read: what is measured is never too short.
func (p *Pool) measureReading(model ident.ModelName, tokens float64, took time.Duration) {
	known, measured := p.perToken[model]
	if !measured {
		known = startPerToken
	}
	reading := took - min(stepTime, took/2)
	sample := min(max(reading.Seconds()/tokens, leastPerToken), mostPerToken)
	weight := longerWeight
	if sample < known {
		weight = shorterWeight
	}
	p.perToken[model] = known + (sample-known)*weight
}

// leastSample is how many tokens of its own a prompt needs to measure reading time
// by: about as long as what an answer takes beside.
const leastSample = 350

// expected is the expected time at the server to the first byte. What this host and
// others are yet to send to an engine is known to its pacer.
func (p *Pool) expected(s *server, work float64) time.Duration {
	queued := max(s.load()-s.known.Slots+1, 0)
	if s.known.Kind != backend.KindEngine {
		work := s.work
		if work == 0 {
			work = p.work
		}
		share := float64(s.load()) / float64(max(s.known.Slots, 1))
		return time.Duration(float64(work)*(1+share)) + time.Duration(queued)*work/time.Duration(max(s.known.Slots, 1))
	}
	before := float64(s.othersWaiting) * p.prompt
	reading := time.Duration((before + work) * float64(time.Second))
	wait := reading + time.Duration(s.load())*pacing.PerRunning + time.Duration(queued)*perQueued
	return time.Duration(float64(wait) * s.slowness)
}

// usualErrors is the error share of the best half of the servers: what is usual
// lies in the requests, and is no reason to avoid a server.
func (p *Pool) usualErrors() float64 {
	if len(p.list) == 0 {
		return 0
	}
	shares := make([]float64, 0, len(p.list))
	for _, s := range p.list {
		shares = append(shares, s.errors)
	}
	slices.Sort(shares)
	return shares[(len(shares)-1)/2]
}

// Started tells that the first bytes of the answer are there.
func (t *Ticket) Started(now time.Time) {
	t.pool.mu.Lock()
	defer t.pool.mu.Unlock()
	if t.started {
		return
	}
	t.start()
	t.startedAt = now
	s, p := t.server, t.pool
	took := now.Sub(t.SendAt)
	s.remember(t.ask.Weights, t.ask.Parts)
	if s.known.Kind == backend.KindEngine && t.measures {
		p.measureReading(t.ask.Weights.Model, t.ask.own(), took-p.way(s))
	}
	if s.known.Kind == backend.KindEngine && t.Expected > 0 {
		ratio := min(max(float64(took)/float64(t.Expected), 0.2), 8)
		s.slowness = min(max(s.slowness*(1+(ratio-1)*fastWeight), 0.3), 8)
	}
	if s.known.Kind != backend.KindEngine {
		if s.work == 0 {
			s.work = p.work
		}
		net := max(took-p.way(s), time.Millisecond)
		s.work += time.Duration(float64(net-s.work) * fastWeight)
		p.work += time.Duration(float64(net-p.work) * slowWeight)
	}
}

func (t *Ticket) start() {
	t.started = true
	t.server.unstarted--
}

// Heard takes in the load that a server's answer tells.
func (t *Ticket) Heard(running, waiting int) {
	t.pool.mu.Lock()
	defer t.pool.mu.Unlock()
	t.server.hear(running, waiting)
}

// Done ends the send. Only the first call counts.
func (t *Ticket) Done(now time.Time, result Result) {
	p := t.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if t.ended {
		return
	}
	t.ended = true
	if !t.started {
		t.start()
	}
	s := t.server
	s.own--
	switch result {
	case Answered:
		s.succeed()
		s.errors -= s.errors * fastWeight
		t.measureAnswering(now)
	case Failed:
		s.succeed()
		s.errors += (1 - s.errors) * fastWeight
	case Refused:
		// An engine refuses what it is about to unload before the holder's word comes.
		s.retiring[t.ask.Weights.Model] = s.known.Kind == backend.KindEngine
		s.probing = false
	case Misplaced:
		s.known.Leaving = true
	case NotHeld:
		delete(s.holds, t.ask.Weights)
		s.probing = false
	case Unreached:
		s.fail(now)
	case Broken, Silent:
		s.errors += (1 - s.errors) * fastWeight
		s.fail(now)
	case Left:
		s.probing = false
	}
	p.wake()
}

// measureAnswering takes in how long the answer took from its first byte on.
func (t *Ticket) measureAnswering(now time.Time) {
	if t.server.known.Kind != backend.KindEngine || t.startedAt.IsZero() {
		return
	}
	model := t.ask.Weights.Model
	known, measured := t.pool.answering[model]
	if !measured {
		known = startAnswering
	}
	t.pool.answering[model] = known + (now.Sub(t.startedAt).Seconds()-known)*fastWeight
}
