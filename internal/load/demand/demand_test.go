package demand

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadaloom/internal/config/jsonfile"
)

const planText = `{
  "Name": "test", "RequestsPerSecond": 200,
  "Models": [{"Name": "briefing", "Weight": 3, "FirstToken": "1.6s", "BetweenTokens": "62ms",
    "Adapters": ["briefing-brest"], "AdapterPercent": 50, "StreamedPercent": 80}],
  "Services": [{"Name": "desk", "Weight": 1, "FirstToken": "1s", "KeyedPercent": 100, "TwicePercent": 20}],
  "Classes": [{"Name": "Crew", "Weight": 1}, {"Name": "Science", "Weight": 3}],
  "Lengths": [{"Words": 5, "Tokens": 4, "Weight": 1}],
  "Prefixes": {"Count": 2, "Words": 10, "Percent": 50}
}`

var start = time.Date(2026, time.December, 2, 10, 0, 0, 0, time.UTC)

func readTestPlan(t *testing.T) Plan {
	t.Helper()
	plan, err := Read([]byte(planText))
	require.NoError(t, err)
	return plan
}

func drawAll(plan Plan, seed uint64, length time.Duration) []Request {
	arrivals := NewArrivals(plan, Span{
		Seed:  seed,
		Start: start,
		End:   start.Add(length),
	})
	var requests []Request
	for request, more := arrivals.Next(); more; request, more = arrivals.Next() {
		requests = append(requests, request)
	}
	return requests
}

func TestSameSeedGivesSameRequests(t *testing.T) {
	plan := readTestPlan(t)
	require.Equal(t, drawAll(plan, 7, 2*time.Second), drawAll(plan, 7, 2*time.Second))
	require.NotEqual(t, drawAll(plan, 7, 2*time.Second)[0].At, drawAll(plan, 8, 2*time.Second)[0].At)
}

// requireShare requires that want percent of a total occurred, with a tolerance of
// 3 percentage points.
func requireShare(t *testing.T, want, have, of int) {
	t.Helper()
	require.InDelta(t, float64(want)/100, float64(have)/float64(of), 0.03)
}

func TestRequestMixMatchesPlanPercentages(t *testing.T) {
	requests := drawAll(readTestPlan(t), 1, 30*time.Second)
	markers := make(map[string]int)
	var services, adapters, streamed, prefixed, science, sentTwice int
	previous := start
	for i := range requests {
		r := &requests[i]
		require.False(t, r.At.Before(previous))
		previous = r.At
		require.Equal(t, 30*time.Second, r.Deadline.Sub(r.At))
		require.Contains(t, r.Message, r.Marker)
		markers[r.Marker]++
		if r.Class == "Science" {
			science++
		}
		if r.Service != nil {
			services++
			require.NotEmpty(t, r.Key)
			continue
		}
		require.Empty(t, r.Key)
		if r.Name == "briefing-brest" {
			adapters++
		}
		if r.Chat.Stream {
			streamed++
		}
		if r.Chat.Prefix != "" {
			prefixed++
		}
	}
	for _, times := range markers {
		if times == 2 {
			sentTwice++
		}
	}
	chats := len(requests) - services
	require.InDelta(t, 200*30, len(markers), 300)
	requireShare(t, 75, chats, len(markers))
	requireShare(t, 50, adapters, chats)
	requireShare(t, 80, streamed, chats)
	requireShare(t, 50, prefixed, chats)
	requireShare(t, 75, science, len(requests))
	requireShare(t, 20, sentTwice, services-sentTwice)
}

func TestRepeatDiffersOnlyInID(t *testing.T) {
	requests := drawAll(readTestPlan(t), 3, 5*time.Second)
	for i := 1; i < len(requests); i++ {
		if requests[i].Marker != requests[i-1].Marker {
			continue
		}
		first, second := requests[i-1], requests[i]
		require.NotEqual(t, first.ID, second.ID)
		second.ID, second.Random = first.ID, first.Random
		require.Equal(t, first, second)
		return
	}
	t.Fatal("no request was sent twice")
}

func TestCurvesChangeRateOverTime(t *testing.T) {
	between := func(requests []Request, name string, from, to time.Duration) int {
		count := 0
		for i := range requests {
			since := requests[i].At.Sub(start)
			if since >= from && since < to && (name == "" || requests[i].Name == name) {
				count++
			}
		}
		return count
	}
	plan := readTestPlan(t)
	plan.Models[0].AdapterPercent = 0
	plan.Services[0].Keys.TwicePercent = 0
	t.Run("a night halves the rate", func(t *testing.T) {
		plan := plan
		plan.Curve = Curve{
			Kind:   Night,
			Period: 40 * time.Second,
		}
		requests := drawAll(plan, 1, 40*time.Second)
		require.InDelta(t, 400, between(requests, "", 0, 2*time.Second), 70)
		require.InDelta(t, 200, between(requests, "", 19*time.Second, 21*time.Second), 50)
	})
	t.Run("a burst goes tenfold for its span, of one model only", func(t *testing.T) {
		plan := plan
		plan.Curve = Curve{
			Kind:   Burst,
			From:   2 * time.Second,
			For:    time.Second,
			Factor: 10,
			Only:   "briefing",
		}
		requests := drawAll(plan, 1, 5*time.Second)
		require.InDelta(t, 300, between(requests, "briefing", 0, 2*time.Second), 60)
		require.InDelta(t, 1500, between(requests, "briefing", 2*time.Second, 3*time.Second), 140)
		require.InDelta(t, 50, between(requests, "desk", 2*time.Second, 3*time.Second), 25)
		require.InDelta(t, 300, between(requests, "briefing", 3*time.Second, 5*time.Second), 60)
	})
}

func TestReadReportsAllFaults(t *testing.T) {
	_, err := Read([]byte(`{
  "Name": "test", "RequestsPerSecond": -1, "Rate": 3,
  "Curve": {"Kind": "Weekend", "Only": "nobody"},
  "Models": [{"Name": "briefing", "Weight": 0, "FirstToken": "0s", "BetweenTokens": "62ms", "AdapterPercent": 101}],
  "Lengths": [{"Words": 5, "Tokens": 4, "Weight": 0}]
}`))
	var faults jsonfile.Faults
	require.ErrorAs(t, err, &faults)
	paths := make(map[string]bool)
	for _, fault := range faults {
		paths[fault.Path] = true
	}
	for _, path := range []string{
		"RequestsPerSecond", "Rate", "Curve.Kind", "Curve.Only", "Models[0].FirstToken",
		"Models[0].AdapterPercent", "Lengths", "",
	} {
		require.Contains(t, paths, path)
	}
}

func TestWrittenPlanReadsBackEqual(t *testing.T) {
	plan := readTestPlan(t)
	readBack, err := Read(Write(plan))
	require.NoError(t, err)
	require.Equal(t, plan, readBack)
}
