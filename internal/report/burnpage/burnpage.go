// Package burnpage renders the report on service-level burn as one HTML page
// that needs nothing else: its plots are drawn into it.
//
// # Usage
//
//	page, err := burnpage.Render(report.At, report.Lines, report.Timeline)
//	err = os.WriteFile("burn.html", page, 0o644)
//
// The page has a verdict for each team at the top, then the last hour minute by
// minute, then a table of every team, class and model in every window with the
// fastest burn first.
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

// Burn rates that the page marks. The fast one is the usual page-somebody
// threshold: it spends 2% of a month's budget in an hour.
const (
	fastBurn = 14.4
	slowBurn = 1
)

type page struct {
	At        string
	Objective string
	Teams     []team
	Windows   []window
}

type team struct {
	Name    ident.TeamName
	Verdict string
	Class   string
	Plot    template.HTML
}

type window struct {
	Name  string
	Lines []line
}

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

// Render gives the page.
func Render(at time.Time, lines []burn.Line, timeline []burn.Slice) ([]byte, error) {
	content := page{
		At:        at.UTC().Format("2006-01-02 15:04:05 UTC"),
		Objective: fmt.Sprintf("%.0f in 100", 100*burn.Objective),
	}
	for _, name := range teamsOf(lines) {
		shown, err := teamOf(name, lines, timeline)
		if err != nil {
			return nil, err
		}
		content.Teams = append(content.Teams, shown)
	}
	for _, span := range burn.Windows {
		content.Windows = append(content.Windows, windowOf(span.Name, lines))
	}
	var out bytes.Buffer
	if err := pageTemplate.Execute(&out, content); err != nil {
		return nil, errors.Wrap(err, "burn page")
	}
	return out.Bytes(), nil
}

func teamsOf(lines []burn.Line) []ident.TeamName {
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

func teamOf(name ident.TeamName, lines []burn.Line, timeline []burn.Slice) (team, error) {
	var own []burn.Slice
	for i := range timeline {
		if timeline[i].Team == name {
			own = append(own, timeline[i])
		}
	}
	drawn, err := plotOf(own)
	if err != nil {
		return team{}, err
	}
	worst := worstOf(name, lines)
	shown := team{
		Name:    name,
		Class:   markOf(worst.Rate()),
		Plot:    drawn,
		Verdict: "within its budget in the last hour",
	}
	if worst.Rate() > slowBurn {
		shown.Verdict = fmt.Sprintf("%s burns its budget %.1f times too fast in the last hour, most of it by requests that were %s", worst.Model, worst.Rate(), strings.ToLower(worst.Cause()))
	}
	return shown, nil
}

// verdictWindow is the window that the verdict at the top is about.
const verdictWindow = "1h"

func worstOf(name ident.TeamName, lines []burn.Line) burn.Line {
	var worst burn.Line
	for i := range lines {
		if lines[i].Team == name && lines[i].Window == verdictWindow && lines[i].Rate() > worst.Rate() {
			worst = lines[i]
		}
	}
	return worst
}

func windowOf(name string, lines []burn.Line) window {
	shown := window{
		Name: name,
	}
	var own []burn.Line
	for i := range lines {
		if lines[i].Window == name {
			own = append(own, lines[i])
		}
	}
	sort.SliceStable(own, func(i, j int) bool { return own[i].Rate() > own[j].Rate() })
	for i := range own {
		shown.Lines = append(shown.Lines, lineOf(&own[i]))
	}
	return shown
}

func lineOf(l *burn.Line) line {
	return line{
		Team:     l.Team,
		Class:    l.Class,
		Model:    l.Model,
		Requests: l.Counts.All(),
		Share:    fmt.Sprintf("%.1f%%", 100*l.Share()),
		Rate:     fmt.Sprintf("%.1f", l.Rate()),
		Left:     fmt.Sprintf("%.0f%%", 100*l.BudgetLeft()),
		Cause:    l.Cause(),
		Mark:     markOf(l.Rate()),
	}
}

func markOf(rate float64) string {
	switch {
	case rate >= fastBurn:
		return "fast"
	case rate > slowBurn:
		return "slow"
	default:
		return "fine"
	}
}
