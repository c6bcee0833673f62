package experiment

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"cicadaloom/internal/config/settings"
	"cicadaloom/internal/load/result"
)

// column is one column of the table: its value for a summary, and its format.
type column struct {
	name   string
	value  func(*result.Summary) float64
	format string
}

const percentFactor = 100

var columns = []column{
	{
		name:   "attainment %",
		value:  func(s *result.Summary) float64 { return percentFactor * s.Attainment },
		format: "%.1f",
	},
	{
		name:   "per accelerator %",
		value:  func(s *result.Summary) float64 { return percentFactor * s.AttainmentPerAccelerator },
		format: "%.2f",
	},
	{
		name:   "moves",
		value:  func(s *result.Summary) float64 { return float64(s.Fleet.Moves) },
		format: "%.0f",
	},
	{
		name:   "TTFT p95 ms",
		value:  func(s *result.Summary) float64 { return milliseconds(s.FirstToken.P95) },
		format: "%.0f",
	},
	{
		name:   "wasted tokens %",
		value:  wastedTokenPercent,
		format: "%.2f",
	},
	{
		name:   "retries",
		value:  func(s *result.Summary) float64 { return float64(s.Fleet.Retries) },
		format: "%.0f",
	},
	{
		name:   "refused %",
		value:  func(s *result.Summary) float64 { return percentOf(s.Refused, s.Asked) },
		format: "%.1f",
	},
	{
		name:   "cut or no answer",
		value:  func(s *result.Summary) float64 { return float64(s.Cut + s.NoAnswer + s.NotSent) },
		format: "%.0f",
	},
	{
		name: "broken promises",
		value: func(s *result.Summary) float64 {
			return float64(s.Foreign + s.Wrong + s.Duplicates + s.Fleet.Overcommits + s.Fleet.RunsOfRefused)
		},
		format: "%.0f",
	},
	{
		name:   "sent late p99 ms",
		value:  func(s *result.Summary) float64 { return milliseconds(s.SentLate.P99) },
		format: "%.0f",
	},
}

func wastedTokenPercent(s *result.Summary) float64 {
	return percentFactor * float64(s.Fleet.TokensWasted) / float64(max(s.Fleet.TokensGenerated, 1))
}

func percentOf(part, total int) float64 {
	return percentFactor * float64(part) / float64(max(total, 1))
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}

// group has the outcomes that differ in the seed only.
type group struct {
	caseName string
	policy   settings.Routing
	rate     float64
	outcomes []*Outcome
}

func (r *Report) groupOutcomes() []group {
	var groups []group
	for i := range r.Outcomes {
		o := &r.Outcomes[i]
		at := slices.IndexFunc(groups, func(g group) bool {
			return g.caseName == o.Case && g.policy == o.Policy && g.rate == o.Rate
		})
		if at < 0 {
			groups = append(groups, group{
				caseName: o.Case,
				policy:   o.Policy,
				rate:     o.Rate,
			})
			at = len(groups) - 1
		}
		groups[at].outcomes = append(groups[at].outcomes, o)
	}
	return groups
}

// medianRange has the median and the range of a value over the seeds.
type medianRange struct {
	median  float64
	minimum float64
	maximum float64
}

func (g *group) summarize(value func(*result.Summary) float64) medianRange {
	values := make([]float64, 0, len(g.outcomes))
	for _, o := range g.outcomes {
		values = append(values, value(&o.Summary))
	}
	slices.Sort(values)
	middle := len(values) / 2
	median := values[middle]
	if len(values)%2 == 0 {
		median = (values[middle-1] + values[middle]) / 2
	}
	return medianRange{
		median:  median,
		minimum: values[0],
		maximum: values[len(values)-1],
	}
}

func (s medianRange) formatWith(format string) string {
	median := fmt.Sprintf(format, s.median)
	least, most := fmt.Sprintf(format, s.minimum), fmt.Sprintf(format, s.maximum)
	if least == most {
		return median
	}
	return median + " (" + least + " to " + most + ")"
}

// Table returns the median of each column over the seeds, with its range, as a
// table in Markdown. "broken promises" is the sum of what must never happen: foreign
// and wrong answers, duplicates, overcommits, and requests that were refused as not
// run but ran.
func (r *Report) Table() string {
	header := []string{"case", "policy", "rate"}
	for _, f := range columns {
		header = append(header, f.name)
	}
	rows := [][]string{header, slices.Repeat([]string{"---"}, len(header))}
	for _, g := range r.groupOutcomes() {
		row := []string{g.caseName, string(g.policy), fmt.Sprintf("%g", g.rate)}
		for _, f := range columns {
			row = append(row, g.summarize(f.value).formatWith(f.format))
		}
		rows = append(rows, row)
	}
	var text strings.Builder
	for _, row := range rows {
		text.WriteString("| " + strings.Join(row, " | ") + " |\n")
	}
	return text.String()
}
