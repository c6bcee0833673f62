package balance

import (
	"cmp"
	"time"

	"cicadaloom/internal/control/pace"
	"cicadaloom/internal/control/pacing"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/unit"
)

const (
	// pausedAnswerCost is what a pause of a running answer beyond its route's event gap costs:
	// that answer is late, as one whose first byte comes this much later.
	pausedAnswerCost = 500 * time.Millisecond
	// outlastsCost is the cost of an answer that is not expected to end by its deadline.
	outlastsCost = 3 * time.Second
	// deadlineMargin is the time that is left to a deadline, as a share of the expected answer,
	// below which outlastsCost begins to count: expected lengths are often far off.
	deadlineMargin = 0.5
)

// scale multiplies a time by a pace. A usual pace leaves it as it is, to the nanosecond.
func scale(d time.Duration, pace float64) time.Duration {
	if pace == 1 {
		return d
	}
	return time.Duration(float64(d) * pace)
}

// Load is the load that a server's answer reports, and how long work takes there.
type Load struct {
	Running int
	Waiting int
	Pace    pace.Reading
}

// UpdateLoad stores the server load that a server's answer reports.
func (t *Ticket) UpdateLoad(now time.Time, load Load) {
	t.pool.mu.Lock()
	defer t.pool.mu.Unlock()
	t.server.updateLoad(load.Running, load.Waiting)
	t.server.loadAt = now
	t.pool.recordPace(now, t.server, load.Pace)
}

// recordPace stores the pace that a server has named, if it has.
func (p *Pool) recordPace(now time.Time, s *server, reading pace.Reading) {
	if !reading.IsKnown() {
		return
	}
	s.pace.Record(now, reading)
	p.isPaced = true
	if p.servers[s.info.Name] == s {
		p.unsentReadings[s] = struct{}{}
	}
}

// TakeReadings returns the last reading of each server that has named its pace since the last call.
func (p *Pool) TakeReadings() []pace.ServerReading {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.unsentReadings) == 0 {
		return nil
	}
	readings := make([]pace.ServerReading, 0, len(p.unsentReadings))
	for s := range p.unsentReadings {
		reading, _ := s.pace.Last()
		readings = append(readings, pace.ServerReading{
			Server:      s.info.Name,
			Incarnation: s.info.Incarnation,
			Reading:     reading,
		})
	}
	clear(p.unsentReadings)
	return readings
}

// Bounds of a lasting pace that counts as usual.
const (
	minUsualPace = 0.8
	maxUsualPace = 1.25
)

// PaceCounts is the number of servers by their lasting pace.
type PaceCounts struct {
	Fast    int
	Usual   int
	Slow    int
	Unknown int
}

// Add returns the sum of two counts.
func (c PaceCounts) Add(other PaceCounts) PaceCounts {
	return PaceCounts{
		Fast:    c.Fast + other.Fast,
		Usual:   c.Usual + other.Usual,
		Slow:    c.Slow + other.Slow,
		Unknown: c.Unknown + other.Unknown,
	}
}

// CountPaces counts the servers by their lasting pace.
func (p *Pool) CountPaces(now time.Time) PaceCounts {
	p.mu.Lock()
	defer p.mu.Unlock()
	var counts PaceCounts
	for _, s := range p.servers {
		level := s.pace.Estimate(now).Level
		switch {
		case !s.pace.IsKnown(now):
			counts.Unknown++
		case level < minUsualPace:
			counts.Fast++
		case level > maxUsualPace:
			counts.Slow++
		default:
			counts.Usual++
		}
	}
	return counts
}

// LevelOf returns the lasting pace of a server, 0 if it isn't known.
func (p *Pool) LevelOf(now time.Time, name ident.ServerName) pace.Reading {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, known := p.servers[name]
	if !known || !s.pace.IsKnown(now) {
		return 0
	}
	return pace.Reading(s.pace.Estimate(now).Level)
}

// expectedAt is the expected time to the first byte, had the pace been this one.
func (t *Ticket) expectedAt(pace float64) time.Duration {
	network := t.pool.networkCost(t.server)
	return scale(t.ExpectedFirstByte-network, pace/t.pace) + network
}

// recordOutput learns how long an answer takes for each token of its expected length, from the
// time that it took at a usual pace.
func (p *Pool) recordOutput(model ident.ModelName, output unit.Tokens, took time.Duration) {
	if !p.isPaced || output == 0 {
		return
	}
	sample := took.Seconds() / float64(output)
	known, measured := p.outputSeconds[model]
	if !measured {
		known = sample
	}
	p.outputSeconds[model] = known + (sample-known)*fastSmoothing
}

// answerTime is how long the answer to a request takes from its first byte at a usual pace.
func (p *Pool) answerTime(criteria *Criteria) time.Duration {
	seconds, measured := p.answerSeconds[criteria.Weights.Model]
	if !measured {
		seconds = initialAnswerSeconds
	}
	if perToken, known := p.outputSeconds[criteria.Weights.Model]; known && criteria.Output > 0 {
		seconds = perToken * float64(criteria.Output)
	}
	return time.Duration(seconds * float64(time.Second))
}

// answerCost is what each answer that runs at an engine adds to the cost of one more, 0 for the
// usual: the steps that slow this one down, and the slot that it takes from others for as long as
// it runs. The slower the engine, the fewer answers it gets.
func (p *Pool) answerCost(s *server, criteria *Criteria, estimate pace.Estimate) time.Duration {
	if !p.isPaced || s.info.Slots == 0 {
		return 0
	}
	slots := time.Duration(s.info.Slots)
	return scale(pacing.DelayPerRunningAnswer, estimate.Current) + scale(p.answerTime(criteria), estimate.Level)/(slots*slots)
}

// pacedSlots is how many answers an engine is given at once: fewer than it has slots if it is
// slower than the mean of those that could answer too, since each step of each of them takes longer.
func pacedSlots(slots int, level, mean float64) int {
	if level <= mean || slots == 0 {
		return slots
	}
	return max(int(float64(slots)*mean/level+0.5), (slots+1)/2)
}

// pacedCandidate is what an engine's pace means for a prompt: its lasting pace, whether the answer
// is expected to outlast its deadline, and what callers lose there apart from the first byte, for
// an answer that may outlast it, and for answers that pause for too long while the engine reads the
// prompt.
type pacedCandidate struct {
	level    float64
	outlasts bool
	penalty  time.Duration
}

func (p *Pool) describePaced(now time.Time, s *server, criteria *Criteria, prefillTime time.Duration, estimate pace.Estimate) pacedCandidate {
	candidate := pacedCandidate{
		level: estimate.Level,
	}
	if !p.isPaced {
		return candidate
	}
	answerTime := scale(p.answerTime(criteria), estimate.Level)
	if !criteria.Deadline.IsZero() && answerTime > 0 {
		margin := time.Duration(deadlineMargin * float64(answerTime))
		excess := now.Add(prefillTime + answerTime + margin).Sub(criteria.Deadline)
		candidate.outlasts = excess >= margin
		candidate.penalty = time.Duration(min(max(float64(excess)/float64(margin), 0), 1) * float64(outlastsCost))
	}
	if criteria.EventGap > 0 && prefillTime+p.eventTime(criteria.Weights.Model, estimate) > criteria.EventGap {
		candidate.penalty += time.Duration(s.inFlight()) * pausedAnswerCost
	}
	return candidate
}

// eventTime is the time between two events of a stream at an engine that reads no prompt.
func (p *Pool) eventTime(model ident.ModelName, estimate pace.Estimate) time.Duration {
	tokens := cmp.Or(p.tokensPerEvent, defaultTokensPerEvent)
	return time.Duration(p.outputSeconds[model] * float64(tokens) * estimate.Current * float64(time.Second))
}

// comparePaced sets what depends on the other candidates: the slots, and the penalties less the least
// of them. What is common to all makes no difference where the prompt goes, and would make it look
// late. Engines where the answer is expected to outlast its deadline are left out if there are
// others: it waits for one of those.
func (p *Pool) comparePaced(candidates []pacing.Candidate) []pacing.Candidate {
	if !p.isPaced || len(candidates) == 0 {
		return candidates
	}
	sum, canEnd, least := 0.0, false, p.paced[0].penalty
	for i := range p.paced {
		sum += p.paced[i].level
		canEnd = canEnd || !p.paced[i].outlasts
		least = min(least, p.paced[i].penalty)
	}
	kept := candidates[:0]
	for i := range candidates {
		paced := &p.paced[i]
		if canEnd && paced.outlasts {
			continue
		}
		candidate := candidates[i]
		candidate.OtherCost += paced.penalty - least
		candidate.Slots = pacedSlots(candidate.Slots, paced.level, sum/float64(len(candidates)))
		kept = append(kept, candidate)
	}
	return kept
}
