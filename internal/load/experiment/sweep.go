package experiment

import (
	"fmt"
	"strings"

	"cicadaloom/internal/config/settings"
	"cicadaloom/internal/load/result"
)

// sweepPoint is the attainment at which goodput is compared.
const sweepPoint = 0.95

// crossing is where attainment falls through sweepPoint as the rate grows.
type crossing struct {
	name   string
	policy settings.Routing
	rate   float64
	// goodput is in attained requests a second.
	goodput float64
	// found is false where attainment was above the point at all rates
	// (above true) or at none.
	found bool
	above bool
}

// crossings finds the crossing of each case and policy between the medians of
// neighbouring rates, which have to grow.
func (r *Report) crossings() []crossing {
	var found []crossing
	var previous *group
	attainment := func(g *group) float64 {
		return g.spread(func(s *result.Summary) float64 { return s.Attainment }).median
	}
	goodput := func(g *group) float64 {
		return g.spread(func(s *result.Summary) float64 { return s.Goodput }).median
	}
	groups := r.groups()
	for i := range groups {
		g := &groups[i]
		if previous == nil || previous.name != g.name || previous.policy != g.policy {
			previous = nil
			found = append(found, crossing{
				name:   g.name,
				policy: g.policy,
			})
		}
		last := &found[len(found)-1]
		now := attainment(g)
		switch {
		case last.found:
		case now >= sweepPoint:
			last.above = true
			last.rate, last.goodput = g.rate, goodput(g)
		case previous != nil && last.above:
			part := (attainment(previous) - sweepPoint) / (attainment(previous) - now)
			last.rate = previous.rate + part*(g.rate-previous.rate)
			last.goodput = goodput(previous) + part*(goodput(g)-goodput(previous))
			last.found = true
		}
		previous = g
	}
	return found
}

// Sweep gives the goodput at which attainment falls through 95%, between the
// rates of the sweep, as a table in Markdown.
func (r *Report) Sweep() string {
	var text strings.Builder
	text.WriteString("| case | policy | goodput at 95% attainment, requests/s | at the rate |\n| --- | --- | --- | --- |\n")
	for _, c := range r.crossings() {
		goodput, rate := fmt.Sprintf("%.0f", c.goodput), fmt.Sprintf("%.2f", c.rate)
		switch {
		case !c.found && c.above:
			goodput, rate = "at least "+goodput, "above "+rate
		case !c.found:
			goodput, rate = "none", "below the least"
		}
		fmt.Fprintf(&text, "| %s | %s | %s | %s |\n", c.name, c.policy, goodput, rate)
	}
	return text.String()
}
