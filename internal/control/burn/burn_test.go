package burn

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"cicadaloom/internal/domain/ident"
)

var noon = time.Date(2026, 12, 2, 12, 0, 0, 0, time.UTC)

func sample(model ident.ModelName, result Result) Sample {
	return Sample{
		Key: Key{
			Team:  "kerlouan",
			Class: "Crew",
			Model: model,
		},
		Result: result,
	}
}

func line(t *testing.T, lines []Line, window string, model ident.ModelName) Line {
	t.Helper()
	at := slices.IndexFunc(lines, func(l Line) bool { return l.Window == window && l.Model == model })
	require.GreaterOrEqual(t, at, 0, "%s %s", window, model)
	return lines[at]
}

// One late request at each age; each window counts those within its span.
func TestWindowsCountRequestsWithinTheirSpan(t *testing.T) {
	var machine Machine
	ages := []time.Duration{71 * time.Hour, 8 * time.Hour, 5 * time.Hour, 59 * time.Minute, 6 * time.Minute, 4 * time.Minute, 0}
	for _, age := range ages {
		machine.Count(noon.Add(-age), sample("briefing", Late))
	}
	lines := Report(noon, machine.Rows(noon))
	for window, want := range map[string]int64{"5m": 2, "1h": 4, "6h": 5, "3d": 7} {
		reported := line(t, lines, window, "briefing")
		require.Equal(t, want, reported.Counts[Late], window)
		require.InDelta(t, 20, reported.BurnRate(), 1e-9, "all of a budget of 5 in 100")
		require.InDelta(t, -19, reported.BudgetLeft(), 1e-9)
	}
}

// Fine and coarse rows overlap in time, and the boundary between them falls inside
// an hour that both have. However requests arrive and whenever rows are read, no
// request may be in two rows, and none of the last three days may be missing.
func TestEveryRequestIsInOneRow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var machine Machine
		now := noon.Add(time.Duration(rapid.IntRange(0, 3600).Draw(t, "start")) * time.Second)
		gaps := rapid.SliceOfN(rapid.IntRange(0, 4*3600), 1, 60).Draw(t, "gaps")
		var times []time.Time
		for _, gap := range gaps {
			now = now.Add(time.Duration(gap) * time.Second)
			machine.Count(now, sample("briefing", InTime))
			times = append(times, now)
		}
		now = now.Add(time.Duration(rapid.IntRange(0, 10*3600).Draw(t, "asked after")) * time.Second)
		rows := machine.Rows(now)
		for _, since := range []time.Time{now.Add(-72 * time.Hour).Truncate(time.Hour), now.Add(-6 * time.Hour).Truncate(time.Minute)} {
			require.Equal(t, countSince(times, since), sumSince(rows, since))
		}
		require.LessOrEqual(t, sumSince(rows, time.Time{}), int64(len(times)))
		require.True(t, slices.IsSortedFunc(rows, func(a, b Row) int { return a.Start.Compare(b.Start) }))
	})
}

func countSince(times []time.Time, since time.Time) int64 {
	var count int64
	for _, t := range times {
		if !t.Before(since) {
			count++
		}
	}
	return count
}

func sumSince(rows []Row, since time.Time) int64 {
	var sum int64
	for i := range rows {
		if !rows[i].Start.Before(since) {
			sum += rows[i].Counts.Total()
		}
	}
	return sum
}

// The load balancer spreads a team's callers over hosts, so a report must add up
// the rows of all hosts.
func TestReportAddsUpHosts(t *testing.T) {
	var first, second Machine
	first.Count(noon, sample("briefing", InTime))
	first.Count(noon, sample("briefing", Refused))
	second.Count(noon.Add(-time.Minute), sample("briefing", Refused))
	second.Count(noon, sample("status", InTime))
	rows := slices.Concat(first.Rows(noon), second.Rows(noon))
	lines := Report(noon, rows)
	briefing := line(t, lines, "1h", "briefing")
	require.Equal(t, Counts{InTime: 1, Refused: 2}, briefing.Counts)
	require.EqualValues(t, 2, briefing.Counts.Missed())
	status := line(t, lines, "1h", "status")
	require.InDelta(t, 1, status.BudgetLeft(), 1e-9)
	require.Len(t, Timeline(noon, rows), 2, "a team's minutes over all hosts and models")
}

// A host runs for weeks: whatever is requested, it keeps only three days by the
// hour and seven hours by the minute.
func TestOldCountsAreRemoved(t *testing.T) {
	var machine Machine
	now := noon
	for range 14 * 24 * 60 {
		now = now.Add(time.Minute)
		machine.Count(now, sample("briefing", InTime))
	}
	require.LessOrEqual(t, len(machine.fineRows), int(fineRetention/fineStep)+2)
	require.LessOrEqual(t, len(machine.coarseRows), int(coarseRetention/coarseStep)+2)
	longest := line(t, Report(now, machine.Rows(now)), "3d", "briefing")
	require.EqualValues(t, 72*60+1, longest.Counts.Total(), "the window ends on a whole hour, both ends count")
}

func TestCauseIsMostFrequentBadResult(t *testing.T) {
	for _, c := range []struct {
		counts Counts
		cause  string
	}{
		{Counts{InTime: 9}, "-"},
		{Counts{InTime: 9, Late: 1}, "Late"},
		{Counts{Late: 1, Refused: 3, Failed: 2}, "Refused"},
		{Counts{Late: 1, Refused: 3, Failed: 4}, "Failed"},
	} {
		reported := Line{Counts: c.counts}
		require.Equal(t, c.cause, reported.MainCause())
	}
}

// A report without the counts of a host that did not answer must say so.
func TestTextNamesMissingHosts(t *testing.T) {
	var machine Machine
	machine.Count(noon, sample("briefing", Late))
	lines := Report(noon, machine.Rows(noon))
	require.NotContains(t, FormatText(lines, nil), "No counts")
	text := FormatText(lines, []ident.HostID{"entry-3", "entry-5"})
	require.Contains(t, text, "No counts from entry-3, entry-5")
	require.Regexp(t, `1h +kerlouan +Crew +briefing +1 +0.0% +20.0 +-1900% +Late`, text)
	require.Contains(t, FormatText(nil, nil), "No requests have been counted yet")
}
