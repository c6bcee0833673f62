package burn

import (
	"fmt"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"cicadaloom/internal/domain/ident"
)

// Window is a span of time up to now that a report covers.
type Window struct {
	Name string
	Span time.Duration
}

// Windows are the windows of every report, the shortest first.
var Windows = []Window{
	{Name: "5m", Span: 5 * time.Minute},
	{Name: "1h", Span: time.Hour},
	{Name: "6h", Span: 6 * time.Hour},
	{Name: "3d", Span: 72 * time.Hour},
}

// Line is the counts of one key in one window.
type Line struct {
	Key
	Window string
	Counts Counts
}

// InTimeShare is the share of requests answered in the promised time, 1 if there were
// none.
func (l *Line) InTimeShare() float64 {
	total := l.Counts.Total()
	if total == 0 {
		return 1
	}
	return float64(l.Counts[InTime]) / float64(total)
}

// BurnRate is the burn rate: how many times faster than allowed the budget is used up.
func (l *Line) BurnRate() float64 {
	return (1 - l.InTimeShare()) / (1 - Objective)
}

// BudgetLeft is the fraction of the window's error budget that is left; below zero
// if it is overdrawn.
func (l *Line) BudgetLeft() float64 {
	return 1 - l.BurnRate()
}

// MainCause is the bad result that used up most of the budget.
func (l *Line) MainCause() string {
	worst := Late
	for result := Late; result < numResults; result++ {
		if l.Counts[result] > l.Counts[worst] {
			worst = result
		}
	}
	if l.Counts[worst] == 0 {
		return "-"
	}
	return worst.String()
}

// Report returns a line for each key in each window, from the rows of any number of
// hosts.
func Report(now time.Time, rows []Row) []Line {
	var lines []Line
	for _, window := range Windows {
		lines = append(lines, window.reportLines(now, rows)...)
	}
	return lines
}

func (w Window) reportLines(now time.Time, rows []Row) []Line {
	since := now.Add(-w.Span)
	sums := make(map[Key]*Counts)
	for i := range rows {
		if rows[i].Start.Before(since.Truncate(fineStep)) {
			continue
		}
		sum, known := sums[rows[i].Key]
		if !known {
			sum = &Counts{}
			sums[rows[i].Key] = sum
		}
		sum.add(&rows[i].Counts)
	}
	lines := make([]Line, 0, len(sums))
	for key, sum := range sums {
		lines = append(lines, Line{
			Key:    key,
			Window: w.Name,
			Counts: *sum,
		})
	}
	sort.Slice(lines, func(i, j int) bool {
		a := Row{Key: lines[i].Key}
		b := Row{Key: lines[j].Key}
		return a.isBefore(&b)
	})
	return lines
}

// FormatText formats a report for a terminal. missing are the hosts whose counts are
// not in it.
func FormatText(lines []Line, missing []ident.HostID) string {
	var text strings.Builder
	if len(lines) == 0 {
		text.WriteString("No requests have been counted yet.\n")
	} else {
		writeTable(&text, lines)
	}
	if len(missing) > 0 {
		text.WriteString("\n" + FormatMissingHosts(missing) + "\n")
	}
	return text.String()
}

// FormatMissingHosts returns a sentence that names the hosts whose counts a report
// lacks.
func FormatMissingHosts(missing []ident.HostID) string {
	names := make([]string, 0, len(missing))
	for _, host := range missing {
		names = append(names, string(host))
	}
	return "No counts from " + strings.Join(names, ", ") + ": what was asked there is not in this report."
}

func writeTable(text *strings.Builder, lines []Line) {
	table := tabwriter.NewWriter(text, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "WINDOW\tTEAM\tCLASS\tMODEL\tREQUESTS\tIN TIME\tBURN RATE\tBUDGET LEFT\tUSED UP BY")
	for i := range lines {
		line := &lines[i]
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%.1f%%\t%.1f\t%.0f%%\t%s\n",
			line.Window, line.Team, line.Class, line.Model, line.Counts.Total(),
			100*line.InTimeShare(), line.BurnRate(), 100*line.BudgetLeft(), line.MainCause())
	}
	_ = table.Flush()
}

// TeamMinute is the counts of one team in one minute, over all classes and models.
type TeamMinute struct {
	Team   ident.TeamName
	Start  time.Time
	Counts Counts
}

// TimelineSpan is how far back a timeline goes.
const TimelineSpan = time.Hour

// Timeline returns the last hour of each team by the minute, oldest first, from the
// rows of any number of hosts.
func Timeline(now time.Time, rows []Row) []TeamMinute {
	type minuteKey struct {
		team  ident.TeamName
		start int64
	}
	since := now.Add(-TimelineSpan)
	sums := make(map[minuteKey]*TeamMinute)
	for i := range rows {
		row := &rows[i]
		if row.Start.Before(since) {
			continue
		}
		key := minuteKey{
			team:  row.Team,
			start: row.Start.Unix(),
		}
		if sums[key] == nil {
			sums[key] = &TeamMinute{
				Team:  row.Team,
				Start: row.Start,
			}
		}
		sums[key].Counts.add(&row.Counts)
	}
	slices := make([]TeamMinute, 0, len(sums))
	for _, slice := range sums {
		slices = append(slices, *slice)
	}
	sort.Slice(slices, func(i, j int) bool {
		if slices[i].Team != slices[j].Team {
			return slices[i].Team < slices[j].Team
		}
		return slices[i].Start.Before(slices[j].Start)
	})
	return slices
}
