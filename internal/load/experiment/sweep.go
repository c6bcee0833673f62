package experiment

import (
	"fmt"
	"strings"

	"cicadaloom/internal/config/settings"
	"cicadaloom/internal/load/result"
)

// sweepAttainment is the attainment (0 to 1) at which goodput is compared.
const sweepAttainment = 0.95

// crossing is the point at which attainment falls below sweepAttainment as the rate
// grows.
type crossing struct {
	caseName string
	policy   settings.Routing
	rate     float64
	// goodput is in attained requests per second.
	goodput float64
	// isFound is false if attainment was at or above sweepAttainment at all rates
	// (wasAbove is true) or at none (wasAbove is false).
	isFound  bool
	wasAbove bool
}

// crossings interpolates the crossing of each case and policy between the medians
// of adjacent rates. Options.Rates must be ascending.
func (r *Report) crossings() []crossing {
	var found []crossing
	var previous *group
	attainment := func(g *group) float64 {
		return g.summarize(func(s *result.Summary) float64 { return s.Attainment }).median
	}
	goodput := func(g *group) float64 {
		return g.summarize(func(s *result.Summary) float64 { return s.Goodput }).median
	}
	groups := r.groupOutcomes()
	for i := range groups {
		g := &groups[i]
		if previous == nil || previous.caseName != g.caseName || previous.policy != g.policy {
			previous = nil
			found = append(found, crossing{
				caseName: g.caseName,
				policy:   g.policy,
			})
		}
		last := &found[len(found)-1]
		current := attainment(g)
		switch {
		case last.isFound:
		case current >= sweepAttainment:
			last.wasAbove = true
			last.rate, last.goodput = g.rate, goodput(g)
		case previous != nil && last.wasAbove:
			fraction := (attainment(previous) - sweepAttainment) / (attainment(previous) - current)
			last.rate = previous.rate + fraction*(g.rate-previous.rate)
			last.goodput = goodput(previous) + fraction*(goodput(g)-goodput(previous))
			last.isFound = true
		}
		previous = g
	}
	return found
}

// Sweep returns the goodput at which attainment falls below 95%, interpolated
// between the rates, as a table in Markdown.
func (r *Report) Sweep() string {
	var text strings.Builder
	text.WriteString("| case | policy | goodput at 95% attainment, requests/s | at the rate |\n| --- | --- | --- | --- |\n")
	for _, c := range r.crossings() {
		goodput, rate := fmt.Sprintf("%.0f", c.goodput), fmt.Sprintf("%.2f", c.rate)
		switch {
		case !c.isFound && c.wasAbove:
			goodput, rate = "at least "+goodput, "above "+rate
		case !c.isFound:
			goodput, rate = "none", "below the least"
		}
		fmt.Fprintf(&text, "| %s | %s | %s | %s |\n", c.caseName, c.policy, goodput, rate)
	}
	return text.String()
}
