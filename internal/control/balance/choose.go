package balance

import (
	"slices"
	"time"

	"cicadaloom/internal/control/backpressure"
	"cicadaloom/internal/control/pacing"
	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/request"
	"cicadaloom/internal/domain/splitmix"
)

// Parts of a server's cost.
const (
	// sameRegionCost and otherRegionCost are the round trips to another data centre of the
	// region and to another region, with an addition for the price of the traffic.
	sameRegionCost  = 8 * time.Millisecond
	otherRegionCost = 120 * time.Millisecond
	// costPerQueued is added for each request beyond the server's slots.
	costPerQueued = 60 * time.Millisecond
	// allFailedCost is the cost of a server that fails every request.
	allFailedCost = 3 * time.Second
	// costJitter is the random share of a cost.
	costJitter = 0.3
)

// Smoothing factors of moving averages: a tenth of the newest value for a single server or
// model, less for values of the whole service.
const (
	fastSmoothing = 0.1
	slowSmoothing = 0.02
)

// Ticket is one send to one server. Done ends it.
type Ticket struct {
	Server      ident.ServerName
	Incarnation ident.Incarnation
	Address     string
	Build       ident.Build
	// PrefillTime is the expected prefill of the prompt; zero for servers without models.
	PrefillTime time.Duration
	// ExpectedFirstByte is the expected time from SendAt to the first byte of the answer.
	ExpectedFirstByte time.Duration
	// SendAt is when the request is to be sent.
	SendAt time.Time
	// Region is the server's region, Pressure what its answers have asked for.
	Region   ident.Region
	Pressure *backpressure.Server

	pool     *Pool
	server   *server
	criteria Criteria
	// pace is the one by which the times above are expected.
	pace float64
	// measuresPrefill reports that the prefill can be measured: no other prompt of this
	// host was waiting for its first byte at the server.
	measuresPrefill bool
	// firstByteAt is when the first bytes of the answer arrived.
	firstByteAt time.Time
	started     bool
	ended       bool
}

// Take chooses the server with the lowest cost and counts the request as in flight there.
func (p *Pool) Take(now time.Time, criteria Criteria) (*Ticket, Verdict) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var best *server
	var lowest float64
	random := criteria.Random
	plan := p.drawDestination(now, splitmix.Mix(^random))
	verdict := p.eachAvailable(now, &criteria, func(s *server, baseline float64) {
		random = splitmix.Mix(random)
		cost := float64(p.cost(now, s, &criteria, baseline)+plan.extraCost(s)) * (1 + costJitter*float64(random%1024)/1024)
		if best == nil || cost < lowest {
			best, lowest = s, cost
		}
	})
	if best == nil {
		return nil, verdict
	}
	return p.newTicket(now, best, criteria), Found
}

// Candidates returns the engines that can answer a prompt now, for a prompt scheduler to
// choose among.
func (p *Pool) Candidates(now time.Time, criteria Criteria) ([]pacing.Candidate, Verdict) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var candidates []pacing.Candidate
	p.paced = p.paced[:0]
	verdict := p.eachAvailable(now, &criteria, func(s *server, baseline float64) {
		estimate := s.pace.Estimate(now)
		prefillSeconds := p.prefillSeconds(criteria.Weights.Model, s.uncachedTokens(&criteria))
		prefillTime := scale(time.Duration(prefillSeconds*float64(time.Second)), estimate.Current)
		p.paced = append(p.paced, p.describePaced(now, s, &criteria, prefillTime, estimate))
		candidates = append(candidates, pacing.Candidate{
			Server:      s.info.Name,
			Region:      s.info.Region,
			PrefillTime: prefillTime,
			OtherCost:   p.extraCost(s, prefillTime, baseline),
			AnswerCost:  p.answerCost(s, &criteria, estimate),
			Slots:       s.info.Slots,
			Occupied:    p.occupied(s),
		})
	})
	if len(candidates) > 0 {
		verdict = Found
	}
	return p.comparePaced(candidates), verdict
}

// extraCost is the cost of an engine besides the prompt's prefill and the engine's queued
// work, which the prompt scheduler knows: the network, an error share above the baseline,
// and answers that are slower than expected.
func (p *Pool) extraCost(s *server, prefillTime time.Duration, baseline float64) time.Duration {
	slower := max(s.slowness-1, 0) * float64(prefillTime+time.Duration(s.inFlight())*pacing.DelayPerRunningAnswer)
	return p.networkCost(s) + s.errorCost(baseline) + time.Duration(slower)
}

// TakeReserved counts a request as in flight at the reserved engine, to be sent at the
// reservation's time. It returns nil if the engine has stopped accepting requests.
func (p *Pool) TakeReserved(now time.Time, criteria Criteria, reservation pacing.Reservation) *Ticket {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, known := p.servers[reservation.Server]
	if !known || !p.canAnswer(s, &criteria) || !s.isAvailable(now, p.serverLimit) || !s.isOpen(now, &criteria) {
		return nil
	}
	return p.newTicket(reservation.SendAt, s, criteria)
}

func (p *Pool) newTicket(sendAt time.Time, s *server, criteria Criteria) *Ticket {
	prefillSeconds := p.prefillSeconds(criteria.Weights.Model, s.uncachedTokens(&criteria))
	current := s.pace.Estimate(sendAt).Current
	ticket := &Ticket{
		Server:            s.info.Name,
		Incarnation:       s.info.Incarnation,
		Address:           s.info.Address,
		Build:             s.info.Build,
		ExpectedFirstByte: p.expectedFirstByte(s, prefillSeconds, current) + p.networkCost(s),
		pool:              p,
		server:            s,
		pace:              current,
		criteria:          criteria,
		measuresPrefill:   s.ownUnstarted == 0 && criteria.ownTokens() >= minSampleTokens,
		SendAt:            sendAt,
		Region:            s.info.Region,
		Pressure:          s.pressure,
	}
	if s.info.Kind == backend.KindEngine {
		ticket.PrefillTime = scale(time.Duration(prefillSeconds*float64(time.Second)), current)
	}
	s.ownInFlight++
	s.ownUnstarted++
	s.probing = s.failures > 0
	return ticket
}

// eachAvailable visits the servers that accept a request now. The verdict gives the reason
// if there are none.
func (p *Pool) eachAvailable(now time.Time, criteria *Criteria, visit func(s *server, baseline float64)) Verdict {
	verdict := NoneHolds
	if criteria.Build != "" {
		verdict = NoneRuns
	}
	isKept := p.isModelKept(criteria)
	baseline := p.baselineErrorShare()
	for s := range p.index.candidates(criteria.Weights) {
		if !criteria.fits(s) || isKept && s.isRetiring(criteria.Weights.Model) {
			continue
		}
		if !s.isLeaving() {
			verdict = NoneTakes
		}
		if !s.isAvailable(now, p.serverLimit) || !s.isOpen(now, criteria) || slices.Contains(criteria.Tried, s.info.Name) {
			continue
		}
		visit(s, baseline)
	}
	return verdict
}

// OpensAt returns when the first of the servers that can answer accepts a request again, if all
// of them accept none now by their own word. The second result is false if there are none, or
// if one has another reason to accept none, such as too many requests in flight.
func (p *Pool) OpensAt(now time.Time, criteria Criteria) (time.Time, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var first time.Time
	for s := range p.index.candidates(criteria.Weights) {
		if !criteria.fits(s) || s.isLeaving() || slices.Contains(criteria.Tried, s.info.Name) {
			continue
		}
		state := s.pressure.State()
		at := state.OpensAt()
		if !at.After(now) {
			return time.Time{}, false
		}
		if first.IsZero() || at.Before(first) {
			first = at
		}
	}
	return first, !first.IsZero()
}

func (p *Pool) canAnswer(s *server, criteria *Criteria) bool {
	return criteria.fits(s) && (s.info.Kind != backend.KindEngine || slices.Contains(s.holds, criteria.Weights))
}

// fits reports whether a server is of a build that may answer a request.
func (c *Criteria) fits(s *server) bool {
	return (c.Build == "" || c.Build == s.info.Build) && !slices.Contains(c.Avoided, s.info.Build)
}

// isModelKept reports whether some server that fits holds the model and is not about to unload it.
// Servers that are about to unload it then get no more requests for it or its adapters,
// which they would refuse repeatedly. An adapter that no other server holds is loaded by
// the server that keeps the model as soon as a request misses it.
func (p *Pool) isModelKept(criteria *Criteria) bool {
	model := criteria.Weights.Model
	return slices.ContainsFunc(p.index.holders[request.Weights{Model: model}], func(s *server) bool {
		return criteria.fits(s) && !s.isLeaving() && !s.isRetiring(model)
	})
}

// cost is the expected time to the first byte, increased by an error share above the
// baseline.
func (p *Pool) cost(now time.Time, s *server, criteria *Criteria, baseline float64) time.Duration {
	tokens := s.uncachedTokens(criteria)
	current := s.pace.Estimate(now).Current
	return p.expectedFirstByte(s, p.prefillSeconds(criteria.Weights.Model, tokens), current) + p.networkCost(s) + s.errorCost(baseline)
}

// errorCost is the cost of failing a larger share of requests than the baseline.
func (s *server) errorCost(baseline float64) time.Duration {
	return time.Duration(max(s.errorShare-baseline, 0) * float64(allFailedCost))
}

func (p *Pool) networkCost(s *server) time.Duration {
	switch {
	case s.info.DataCentre == p.location.DataCentre:
		return 0
	case s.info.Region == p.location.Region:
		return sameRegionCost
	default:
		return otherRegionCost
	}
}

// prefillSeconds is how long an engine takes for the prefill of so many tokens.
func (p *Pool) prefillSeconds(model ident.ModelName, tokens float64) float64 {
	secondsPerToken, measured := p.secondsPerToken[model]
	if !measured {
		secondsPerToken = initialSecondsPerToken
	}
	return tokens * secondsPerToken
}

// Smoothing factors and bounds for the measured prefill. The measured time can include
// waits behind prompts of other hosts that were not reported, so a shorter sample weighs
// more than a longer one.
const (
	shorterSampleSmoothing = 0.3
	longerSampleSmoothing  = 0.02
	minSecondsPerToken     = 4e-6
	maxSecondsPerToken     = 150e-6
	// decodeStepTime is the time of a first token besides the prefill, for a large model.
	// At most half of a measured time is taken as such.
	decodeStepTime = 18 * time.Millisecond
)

// recordPrefill updates a model's prefill time per token by the time to the first token of an
// answer. The engine prefilled at least so many tokens for it, so a sample may be too long,
// but never too short.
func (p *Pool) recordPrefill(model ident.ModelName, tokens float64, took time.Duration) {
	known, measured := p.secondsPerToken[model]
	if !measured {
		known = initialSecondsPerToken
	}
	prefillTime := took - min(decodeStepTime, took/2)
	sample := min(max(prefillTime.Seconds()/tokens, minSecondsPerToken), maxSecondsPerToken)
	smoothing := longerSampleSmoothing
	if sample < known {
		smoothing = shorterSampleSmoothing
	}
	p.secondsPerToken[model] = known + (sample-known)*smoothing
}

// minSampleTokens is how many tokens of its own a prompt needs for its prefill to be
// measured: their prefill takes about as long as the rest of the time to the first token.
const minSampleTokens = 350

// expectedFirstByte is the expected time at the server to the first byte at a pace, without the
// network. Prompts that are not yet sent to an engine are known to its prompt scheduler and
// not counted here.
func (p *Pool) expectedFirstByte(s *server, prefillSeconds, pace float64) time.Duration {
	return scale(p.usualFirstByte(s, prefillSeconds), pace)
}

// usualFirstByte is expectedFirstByte at a usual pace.
func (p *Pool) usualFirstByte(s *server, prefillSeconds float64) time.Duration {
	queued := max(s.inFlight()-s.info.Slots+1, 0)
	if s.info.Kind != backend.KindEngine {
		responseTime := s.responseTime
		if responseTime == 0 {
			responseTime = p.responseTime
		}
		share := float64(s.inFlight()) / float64(max(s.info.Slots, 1))
		return time.Duration(float64(responseTime)*(1+share)) + time.Duration(queued)*responseTime/time.Duration(max(s.info.Slots, 1))
	}
	queuedSeconds := float64(s.otherWaiting) * p.meanPrefillSeconds
	prefillTime := time.Duration((queuedSeconds + prefillSeconds) * float64(time.Second))
	wait := prefillTime + time.Duration(s.inFlight())*pacing.DelayPerRunningAnswer + time.Duration(queued)*costPerQueued
	return time.Duration(float64(wait) * s.slowness)
}

// baselineErrorShare is the highest error share in the better half of the servers. An error
// share up to it is caused by the requests, and is no reason to avoid a server.
func (p *Pool) baselineErrorShare() float64 {
	median := (len(p.servers) - 1) / 2
	withoutErrors := len(p.servers) - len(p.failing)
	if len(p.failing) == 0 || median < withoutErrors {
		return 0
	}
	shares := make([]float64, 0, len(p.failing))
	for s := range p.failing {
		shares = append(shares, s.errorShare)
	}
	slices.Sort(shares)
	return shares[median-withoutErrors]
}

// raiseErrorShare counts a send that a server failed.
func (p *Pool) raiseErrorShare(s *server) {
	s.errorShare += (1 - s.errorShare) * fastSmoothing
	if p.servers[s.info.Name] == s {
		p.failing[s] = struct{}{}
	}
}

// IsCurrent reports whether the server's entry still names the incarnation that was chosen.
func (t *Ticket) IsCurrent() bool {
	t.pool.mu.Lock()
	defer t.pool.mu.Unlock()
	return t.pool.servers[t.Server] == t.server
}

// WasReplaced reports whether the server's entry names another incarnation than the one that was
// chosen. A server without an entry has left, and goes on with what it has begun.
func (t *Ticket) WasReplaced() bool {
	t.pool.mu.Lock()
	defer t.pool.mu.Unlock()
	current, listed := t.pool.servers[t.Server]
	return listed && current != t.server
}

// RecordFirstByte reports that the first bytes of the answer have arrived.
func (t *Ticket) RecordFirstByte(now time.Time) {
	t.pool.mu.Lock()
	defer t.pool.mu.Unlock()
	if t.started {
		return
	}
	t.markStarted()
	t.firstByteAt = now
	s, p := t.server, t.pool
	took := now.Sub(t.SendAt)
	current := s.pace.Estimate(now).Current
	s.recordParts(t.criteria.Weights, t.criteria.Parts)
	if s.info.Kind == backend.KindEngine && t.measuresPrefill {
		p.recordPrefill(t.criteria.Weights.Model, t.criteria.ownTokens(), scale(took-p.networkCost(s), 1/current))
	}
	if expected := t.expectedAt(current); s.info.Kind == backend.KindEngine && expected > 0 {
		ratio := min(max(float64(took)/float64(expected), 0.2), 8)
		s.slowness = min(max(s.slowness*(1+(ratio-1)*fastSmoothing), 0.3), 8)
	}
	if s.info.Kind != backend.KindEngine {
		if s.responseTime == 0 {
			s.responseTime = p.responseTime
		}
		serverTime := max(scale(took-p.networkCost(s), 1/current), time.Millisecond)
		s.responseTime += time.Duration(float64(serverTime-s.responseTime) * fastSmoothing)
		p.responseTime += time.Duration(float64(serverTime-p.responseTime) * slowSmoothing)
	}
}

func (t *Ticket) markStarted() {
	t.started = true
	t.server.ownUnstarted--
}

// Done ends the send. Only the first call has an effect.
func (t *Ticket) Done(now time.Time, result Result) {
	p := t.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if t.ended {
		return
	}
	t.ended = true
	if !t.started {
		t.markStarted()
	}
	s := t.server
	s.ownInFlight--
	switch result {
	case Answered:
		s.recordSuccess()
		s.errorShare -= s.errorShare * fastSmoothing
		t.recordAnswerTime(now)
	case Failed:
		s.recordSuccess()
		p.raiseErrorShare(s)
	case Refused:
		// An engine may refuse a model that it is about to unload before the leader's
		// message arrives here.
		p.correctRetiring(s, t.criteria.Weights.Model)
		s.probing = false
	case Misplaced:
		s.info.Leaving = true
	case NotHeld:
		p.correctHolds(s, t.criteria.Weights)
		s.probing = false
	case Unreached:
		s.recordFailure(now)
	case Broken, Silent:
		p.raiseErrorShare(s)
		s.recordFailure(now)
	case Left, Detoured:
		s.probing = false
	}
	p.notifyChanged()
}

// correctRetiring marks a model of an engine as retiring until the next report.
func (p *Pool) correctRetiring(s *server, model ident.ModelName) {
	if s.info.Kind != backend.KindEngine || p.servers[s.info.Name] != s || s.isRetiring(model) {
		return
	}
	s.retiring = append(slices.Clone(s.retiring), model)
	p.corrected[s] = struct{}{}
}

// correctHolds removes weights from an engine until the next report.
func (p *Pool) correctHolds(s *server, weights request.Weights) {
	if s.info.Kind != backend.KindEngine || p.servers[s.info.Name] != s {
		return
	}
	p.index.removeHolder(weights, s)
	s.holds = slices.DeleteFunc(slices.Clone(s.holds), func(w request.Weights) bool { return w == weights })
	p.corrected[s] = struct{}{}
}

// recordAnswerTime learns from the time between the answer's first byte and its end.
func (t *Ticket) recordAnswerTime(now time.Time) {
	if t.server.info.Kind != backend.KindEngine || t.firstByteAt.IsZero() {
		return
	}
	model := t.criteria.Weights.Model
	known, measured := t.pool.answerSeconds[model]
	if !measured {
		known = initialAnswerSeconds
	}
	took := scale(now.Sub(t.firstByteAt), 1/t.server.pace.Estimate(now).Level)
	t.pool.answerSeconds[model] = known + (took.Seconds()-known)*fastSmoothing
	t.pool.recordOutput(model, t.criteria.Output, took)
}
