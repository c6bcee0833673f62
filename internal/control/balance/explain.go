package balance

import (
	"cmp"
	"slices"
	"time"

	"cicadaloom/internal/domain/ident"
)

// Obstacle is why a server can't take a request now; empty if it can.
type Obstacle string

// The obstacles.
const (
	Leaving      Obstacle = "Leaving"
	Unrecorded   Obstacle = "Unrecorded"
	UnloadsModel Obstacle = "UnloadsModel"
	FailedLately Obstacle = "FailedLately"
	Full         Obstacle = "Full"
	AskedToWait  Obstacle = "AskedToWait"
)

// Option is a server that could answer a request, and what it would cost.
type Option struct {
	Server     ident.ServerName
	Build      ident.Build
	DataCentre ident.DataCentre
	Region     ident.Region
	Obstacle   Obstacle
	InFlight   int
	Slots      int
	// Pace is how long work is expected to take there now: 1 as usual, 2 twice as long.
	Pace float64
	// Cost is the sum of its parts: the expected time at the server to the first byte, of which
	// Prefill is the prompt's own, the network, and failures above what is usual.
	Cost      time.Duration
	FirstByte time.Duration
	Prefill   time.Duration
	Network   time.Duration
	Errors    time.Duration
}

// Choice is what Take would choose among.
type Choice struct {
	Verdict Verdict
	// Options are servers that could answer, those that take the request now first, and the
	// cheapest of them first; Servers is how many there are in all.
	Options []Option
	Servers int
}

// Explain returns what Take would choose among, with at most maxOptions options, before Take's
// random additions to costs. It counts nothing and takes no ticket.
func (p *Pool) Explain(now time.Time, criteria Criteria, maxOptions int) Choice {
	p.mu.Lock()
	defer p.mu.Unlock()
	isKept, baseline := p.isModelKept(&criteria), p.baselineErrorShare()
	var options []Option
	for s := range p.index.candidates(criteria.Weights) {
		if criteria.fits(s) {
			options = append(options, p.describeOption(now, s, &criteria, isKept, baseline))
		}
	}
	verdict := p.eachAvailable(now, &criteria, func(*server, float64) {})
	if slices.ContainsFunc(options, func(o Option) bool { return o.Obstacle == "" }) {
		verdict = Found
	}
	slices.SortFunc(options, func(a, b Option) int {
		return cmp.Or(compareBool(a.Obstacle != "", b.Obstacle != ""), cmp.Compare(a.Cost, b.Cost), cmp.Compare(a.Server, b.Server))
	})
	return Choice{
		Verdict: verdict,
		Options: options[:min(len(options), maxOptions)],
		Servers: len(options),
	}
}

func (p *Pool) describeOption(now time.Time, s *server, criteria *Criteria, isKept bool, baseline float64) Option {
	prefillSeconds := p.prefillSeconds(criteria.Weights.Model, s.uncachedTokens(criteria))
	current := s.pace.Estimate(now).Current
	option := Option{
		Server:     s.info.Name,
		Build:      s.info.Build,
		DataCentre: s.info.DataCentre,
		Region:     s.info.Region,
		InFlight:   s.inFlight(),
		Slots:      s.info.Slots,
		Pace:       current,
		Cost:       p.cost(now, s, criteria, baseline),
		FirstByte:  p.expectedFirstByte(s, prefillSeconds, current),
		Network:    p.networkCost(s),
		Errors:     s.errorCost(baseline),
	}
	if criteria.Weights.Model != "" {
		option.Prefill = scale(time.Duration(prefillSeconds*float64(time.Second)), current)
	}
	switch {
	case s.isLeaving():
		option.Obstacle = Leaving
	case s.info.Unrecorded:
		option.Obstacle = Unrecorded
	case isKept && s.isRetiring(criteria.Weights.Model):
		option.Obstacle = UnloadsModel
	case !s.hasRoom(p.serverLimit):
		option.Obstacle = Full
	case !s.isAvailable(now, p.serverLimit):
		option.Obstacle = FailedLately
	case !s.isOpen(now, criteria):
		option.Obstacle = AskedToWait
	}
	return option
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}
