// Package burnpage renders the report of error budget burn rates as one
// self-contained HTML page; its plots are inline SVG. The operator interface of an
// entry host calls it.
//
// # Usage
//
//	page, err := burnpage.Render(burnpage.Content{
//		At:       report.At,
//		Lines:    report.Lines,
//		Timeline: report.Timeline,
//		Missing:  report.Missing,
//	})
//	err = os.WriteFile("burn.html", page, 0o644)
//
// For each team the page has a sentence on the last hour and a plot of it by the
// minute. Below that it has a table for each window, with a row for each team, class
// and model, ordered by falling burn rate. Render keeps no state and may be called
// concurrently.
package burnpage

import (
	"bytes"
	_ "embed" // for the page's template
	"fmt"
	"html/template"
	"sort"
	"strings"
	"time"

	"github.com/pkg/errors"

	"cicadaloom/internal/control/burn"
	"cicadaloom/internal/domain/ident"
)

//go:embed page.html
var pageText string

var pageTemplate = template.Must(template.New("page").Parse(pageText))

// Burn rates from which the page highlights a row. fastBurnRate is the usual
// threshold for paging an operator: it uses 2% of a month's error budget in an hour.
// Above slowBurnRate the budget does not last for the window.
const (
	fastBurnRate = 14.4
	slowBurnRate = 1
)

// Content is the data that a page shows.
type Content struct {
	At       time.Time
	Lines    []burn.Line
	Timeline []burn.TeamMinute
	// Missing are the hosts whose counts are not included in Lines.
	Missing []ident.HostID
}

// page is the input of the template, which refers to its fields by name.
type page struct {
	At        string
	Objective string
	Missing   string
	Teams     []team
	Windows   []window
}

// team is the section of one team; Class is the CSS class of its verdict.
type team struct {
	Name    ident.TeamName
	Verdict string
	Class   string
	Plot    template.HTML
}

// window is the table of one window.
type window struct {
	Name  string
	Lines []line
}

// line is one row of a table; Left is the error budget left, Mark the CSS class.
type line struct {
	Team     ident.TeamName
	Class    ident.ClassName
	Model    ident.ModelName
	Requests int64
	Share    string
	Rate     string
	Left     string
	Cause    string
	Mark     string
}

// Render returns the page as HTML.
func Render(report Content) ([]byte, error) {
	lines := report.Lines
	content := page{
		At:        report.At.UTC().Format("2006-01-02 15:04:05 UTC"),
		Objective: fmt.Sprintf("%.0f in 100", 100*burn.Objective),
	}
	if len(report.Missing) > 0 {
		content.Missing = burn.FormatMissingHosts(report.Missing)
	}
	for _, name := range teamNames(lines) {
		section, err := buildTeam(name, &report)
		if err != nil {
			return nil, err
		}
		content.Teams = append(content.Teams, section)
	}
	for _, span := range burn.Windows {
		content.Windows = append(content.Windows, buildWindow(span, lines))
	}
	var out bytes.Buffer
	if err := pageTemplate.Execute(&out, content); err != nil {
		return nil, errors.Wrap(err, "burn page")
	}
	return out.Bytes(), nil
}

func teamNames(lines []burn.Line) []ident.TeamName {
	seen := make(map[ident.TeamName]bool)
	var names []ident.TeamName
	for i := range lines {
		if !seen[lines[i].Team] {
			seen[lines[i].Team] = true
			names = append(names, lines[i].Team)
		}
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	return names
}

func buildTeam(name ident.TeamName, report *Content) (team, error) {
	var minutes []burn.TeamMinute
	for i := range report.Timeline {
		if report.Timeline[i].Team == name {
			minutes = append(minutes, report.Timeline[i])
		}
	}
	svg, err := renderPlot(report.At, minutes)
	if err != nil {
		return team{}, err
	}
	worst := worstLine(name, report.Lines)
	return team{
		Name:    name,
		Class:   severity(worst.BurnRate()),
		Plot:    svg,
		Verdict: verdictText(&worst),
	}, nil
}

// verdictText describes the worst line of a team in the last hour in a sentence.
func verdictText(worst *burn.Line) string {
	switch {
	case worst.Counts.Total() == 0:
		return "The team had no requests in the last hour"
	case worst.BurnRate() <= slowBurnRate:
		return "The team stayed within its budget in the last hour"
	default:
		return fmt.Sprintf("%s burns its budget %.1f times too fast in the last hour: %d of %d requests of class %s were not answered in time, most of these were %s",
			worst.Model, worst.BurnRate(), worst.Counts.Missed(), worst.Counts.Total(), worst.Class, strings.ToLower(worst.MainCause()))
	}
}

// verdictWindow is the name of the window that the verdicts describe.
const verdictWindow = "1h"

func worstLine(name ident.TeamName, lines []burn.Line) burn.Line {
	var worst burn.Line
	for i := range lines {
		if lines[i].Team != name || lines[i].Window != verdictWindow {
			continue
		}
		if worst.Counts.Total() == 0 || lines[i].BurnRate() > worst.BurnRate() {
			worst = lines[i]
		}
	}
	return worst
}

func buildWindow(span burn.Window, lines []burn.Line) window {
	section := window{
		Name: spanName(span.Span),
	}
	var selected []burn.Line
	for i := range lines {
		if lines[i].Window == span.Name {
			selected = append(selected, lines[i])
		}
	}
	sort.SliceStable(selected, func(i, j int) bool { return selected[i].BurnRate() > selected[j].BurnRate() })
	for i := range selected {
		section.Lines = append(section.Lines, buildLine(&selected[i]))
	}
	return section
}

const day = 24 * time.Hour

// spanName returns the length of a window in words, for a heading.
func spanName(span time.Duration) string {
	switch {
	case span == time.Hour:
		return "hour"
	case span >= 2*day:
		return fmt.Sprintf("%d days", span/day)
	case span > time.Hour:
		return fmt.Sprintf("%d hours", span/time.Hour)
	default:
		return fmt.Sprintf("%d minutes", span/time.Minute)
	}
}

func buildLine(l *burn.Line) line {
	return line{
		Team:     l.Team,
		Class:    l.Class,
		Model:    l.Model,
		Requests: l.Counts.Total(),
		Share:    fmt.Sprintf("%.1f%%", 100*l.InTimeShare()),
		Rate:     fmt.Sprintf("%.1f", l.BurnRate()),
		Left:     fmt.Sprintf("%.0f%%", 100*l.BudgetLeft()),
		Cause:    l.MainCause(),
		Mark:     severity(l.BurnRate()),
	}
}

// severity returns the CSS class of a burn rate.
func severity(rate float64) string {
	switch {
	case rate >= fastBurnRate:
		return "fast"
	case rate > slowBurnRate:
		return "slow"
	default:
		return "fine"
	}
}
