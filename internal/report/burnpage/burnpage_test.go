package burnpage

import (
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadaloom/internal/control/burn"
	"cicadaloom/internal/domain/ident"
)

var noon = time.Date(2026, 12, 2, 12, 0, 0, 0, time.UTC)

// makeBadHour returns an hour of counts in which one of two models burns its budget
// too fast in the second half.
func makeBadHour() []burn.Row {
	var machine burn.Machine
	for minute := range 60 {
		at := noon.Add(time.Duration(minute-59) * time.Minute)
		for n := range 20 {
			result := burn.InTime
			if minute > 30 && n%4 == 0 {
				result = burn.Late
			}
			machine.Count(at, sample("drift-briefing", result))
			machine.Count(at, sample("tide-window", burn.InTime))
		}
	}
	return machine.Rows(noon)
}

func sample(model ident.ModelName, result burn.Result) burn.Sample {
	return burn.Sample{
		Key: burn.Key{
			Team:  "kerlouan",
			Class: "chase-crews",
			Model: model,
		},
		Result: result,
	}
}

func TestPageShowsFastestBurningModel(t *testing.T) {
	rows := makeBadHour()
	page, err := Render(Content{
		At:       noon,
		Lines:    burn.Report(noon, rows),
		Timeline: burn.Timeline(noon, rows),
		Missing:  []ident.HostID{"entry-3", "entry-5"},
	})
	require.NoError(t, err)
	if file := os.Getenv("BURN_PAGE"); file != "" {
		require.NoError(t, os.WriteFile(file, page, 0o600))
	}
	text := string(page)
	require.Contains(t, text, "drift-briefing burns its budget")
	require.Contains(t, text, "most of these were late")
	require.Contains(t, text, "Last 5 minutes")
	require.Contains(t, text, "Last 3 days")
	require.Contains(t, text, "No counts from entry-3, entry-5")
	require.Contains(t, text, "<svg")
	require.NotContains(t, text, "http://cdn")
}

// The last requests of the team were yesterday: the page must not say that it stayed
// within its budget in the last hour.
func TestPageOfIdleTeamMakesNoClaimOnLastHour(t *testing.T) {
	var machine burn.Machine
	machine.Count(noon.Add(-24*time.Hour), sample("drift-briefing", burn.Failed))
	rows := machine.Rows(noon)
	page, err := Render(Content{
		At:       noon,
		Lines:    burn.Report(noon, rows),
		Timeline: burn.Timeline(noon, rows),
	})
	require.NoError(t, err)
	require.Contains(t, string(page), "no requests in the last hour")
	require.NotContains(t, string(page), "<svg")
}

func TestPageWithoutCounts(t *testing.T) {
	page, err := Render(Content{
		At: noon,
	})
	require.NoError(t, err)
	require.NotContains(t, string(page), "No counts from")
	require.Contains(t, string(page), "No requests have been counted yet")
}

// Names come from the teams' documents and must not be interpreted as HTML.
func TestNamesAreEscapedInHTML(t *testing.T) {
	lines := []burn.Line{
		{
			Key: burn.Key{
				Team: "<script>",
			},
			Window: "1h",
		},
	}
	page, err := Render(Content{
		At:      noon,
		Lines:   lines,
		Missing: []ident.HostID{"<script>"},
	})
	require.NoError(t, err)
	require.NotContains(t, string(page), "<script>")
}
