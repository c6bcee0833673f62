package experiment

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"cicadaloom/internal/config/settings"
	"cicadaloom/internal/load/result"
)

// figure is one column of the table.
type figure struct {
	name   string
	of     func(*result.Summary) float64
	format string
}

const percent = 100

var figures = []figure{
	{
		name:   "attainment %",
		of:     func(s *result.Summary) float64 { return percent * s.Attainment },
		format: "%.1f",
	},
	{
		name:   "per accelerator %",
		of:     func(s *result.Summary) float64 { return percent * s.AttainmentPerAccelerator },
		format: "%.2f",
	},
	{
		name:   "moves",
		of:     func(s *result.Summary) float64 { return float64(s.Fleet.Moves) },
		format: "%.0f",
	},
	{
		name:   "TTFT p95 ms",
		of:     func(s *result.Summary) float64 { return milliseconds(s.FirstToken.P95) },
		format: "%.0f",
	},
	{
		name:   "wasted tokens %",
		of:     wasted,
		format: "%.2f",
	},
	{
		name:   "retries",
		of:     func(s *result.Summary) float64 { return float64(s.Fleet.Retries) },
		format: "%.0f",
	},
	{
		name:   "refused %",
		of:     func(s *result.Summary) float64 { return share(s.Refused, s.Asked) },
		format: "%.1f",
	},
	{
		name:   "cut or no answer",
		of:     func(s *result.Summary) float64 { return float64(s.Cut + s.NoAnswer + s.NotSent) },
		format: "%.0f",
	},
	{
		name: "broken promises",
		of: func(s *result.Summary) float64 {
			return float64(s.Foreign + s.Wrong + s.Duplicates + s.Fleet.Overcommits + s.Fleet.RunsOfRefused)
		},
		format: "%.0f",
	},
	{
		name:   "sent late p99 ms",
		of:     func(s *result.Summary) float64 { return milliseconds(s.SentLate.P99) },
		format: "%.0f",
	},
}

func wasted(s *result.Summary) float64 {
	return percent * float64(s.Fleet.TokensWasted) / float64(max(s.Fleet.TokensGenerated, 1))
}

func share(part, of int) float64 {
	return percent * float64(part) / float64(max(of, 1))
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}

// group is the outcomes that differ in the seed only.
type group struct {
	name     string
	policy   settings.Routing
	rate     float64
	outcomes []*Outcome
}

func (r *Report) groups() []group {
	var groups []group
	for i := range r.Outcomes {
		o := &r.Outcomes[i]
		at := slices.IndexFunc(groups, func(g group) bool {
			return g.name == o.Case && g.policy == o.Policy && g.rate == o.Rate
		})
		if at < 0 {
			groups = append(groups, group{
				name:   o.Case,
				policy: o.Policy,
				rate:   o.Rate,
			})
			at = len(groups) - 1
		}
		groups[at].outcomes = append(groups[at].outcomes, o)
	}
	return groups
}

// spread is a figure over the seeds.
type spread struct {
	median float64
	least  float64
	most   float64
}

func (g *group) spread(of func(*result.Summary) float64) spread {
	values := make([]float64, 0, len(g.outcomes))
	for _, o := range g.outcomes {
		values = append(values, of(&o.Summary))
	}
	slices.Sort(values)
	middle := len(values) / 2
	median := values[middle]
	if len(values)%2 == 0 {
		median = (values[middle-1] + values[middle]) / 2
	}
	return spread{
		median: median,
		least:  values[0],
		most:   values[len(values)-1],
	}
}

func (s spread) text(format string) string {
	median := fmt.Sprintf(format, s.median)
	least, most := fmt.Sprintf(format, s.least), fmt.Sprintf(format, s.most)
	if least == most {
		return median
	}
	return median + " (" + least + " to " + most + ")"
}

// Table gives the median of each figure over the seeds, with its range, as a
// table in Markdown. "broken promises" adds up what must never be: foreign and
// wrong answers, duplicates, overcommits, and refusals as not run that ran.
func (r *Report) Table() string {
	header := []string{"case", "policy", "rate"}
	for _, f := range figures {
		header = append(header, f.name)
	}
	rows := [][]string{header, slices.Repeat([]string{"---"}, len(header))}
	for _, g := range r.groups() {
		row := []string{g.name, string(g.policy), fmt.Sprintf("%g", g.rate)}
		for _, f := range figures {
			row = append(row, g.spread(f.of).text(f.format))
		}
		rows = append(rows, row)
	}
	var text strings.Builder
	for _, row := range rows {
		text.WriteString("| " + strings.Join(row, " | ") + " |\n")
	}
	return text.String()
}
