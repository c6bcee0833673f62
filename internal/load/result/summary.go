package result

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// Summary is the result of a load run.
type Summary struct {
	Length       time.Duration
	Accelerators int
	Counts
	// Attainment is between 0 and 1. Goodput is attained requests per second,
	// GoodputTokens their tokens per second.
	Attainment               float64
	AttainmentPerAccelerator float64
	Goodput                  float64
	GoodputTokens            float64
	// Refusals counts refused and cut requests by code and Run, Causes counts those
	// without an answer by the kind of failure.
	Refusals map[string]int
	Causes   map[string]int
	// NotKept counts the requests that were not checked for duplicates or false
	// refusals, since too many were stored.
	NotKept       int
	FirstToken    Quantiles
	Whole         Quantiles
	BetweenTokens Quantiles
	// SentLate is how far the sender fell behind. If it is large, the other results
	// say little about the servers.
	SentLate Quantiles
	// Fleet is from the fleet's own counters; nil if they were not read.
	Fleet *Fleet
}

// Fleet is how the fleet's own counters changed during a load run. It is encoded as
// JSON under its field names.
type Fleet struct {
	// Moves counts the loads, unloads and relocations of models, MovesBy counts them
	// by reason.
	Moves   int
	MovesBy map[string]int
	// HostsNotRead counts the hosts that stopped during the load run; their moves are
	// missing.
	HostsNotRead int
	// Overcommits counts loads of weights that exceeded a server's free memory.
	Overcommits int
	// TokensGenerated counts the tokens that engines generated, TokensWasted those
	// of them that no caller received in a whole answer.
	TokensGenerated int64
	TokensWasted    int64
	// Retries counts the runs of requests after the first one.
	Retries int
	// RunsOfRefused counts refusals that said that the request was not run although
	// a server ran it.
	RunsOfRefused int
	// RunsNotKept counts the runs that servers did not record by request.
	RunsNotKept int
}

// Table formats the summary as a short plain-text table.
func (s *Summary) Table() string {
	var text strings.Builder
	rows := tabwriter.NewWriter(&text, 0, 0, 2, ' ', 0)
	row := func(name, format string, values ...any) {
		fmt.Fprintf(rows, "%s\t"+format+"\n", append([]any{name}, values...)...)
	}
	row("asked for", "%d in %s", s.Asked, s.Length)
	row("attainment", "%.2f%%", 100*s.Attainment)
	if s.Accelerators > 0 {
		row("attainment per accelerator", "%.3f%% of %d", 100*s.AttainmentPerAccelerator, s.Accelerators)
	}
	row("goodput", "%.1f requests/s, %.0f tokens/s", s.Goodput, s.GoodputTokens)
	row("answered", "%d, late %d", s.Answered, s.Late)
	row("refused", "%d", s.Refused)
	row("cut", "%d", s.Cut)
	row("no answer", "%d", s.NoAnswer)
	row("not sent", "%d", s.NotSent)
	row("foreign, wrong", "%d, %d", s.Foreign, s.Wrong)
	row("duplicates, replayed", "%d, %d", s.Duplicates, s.Replayed)
	for _, code := range slices.Sorted(maps.Keys(s.Refusals)) {
		row("  "+code, "%d", s.Refusals[code])
	}
	for _, cause := range slices.Sorted(maps.Keys(s.Causes)) {
		row("  "+cause, "%d", s.Causes[cause])
	}
	row("", "p50\tp95\tp99\tmax")
	quantiles := func(name string, q Quantiles) {
		row(name, "%s\t%s\t%s\t%s", milliseconds(q.P50), milliseconds(q.P95), milliseconds(q.P99), milliseconds(q.Max))
	}
	quantiles("first token", s.FirstToken)
	quantiles("between tokens", s.BetweenTokens)
	quantiles("whole answer", s.Whole)
	quantiles("sent late", s.SentLate)
	if s.Fleet != nil {
		s.Fleet.writeRows(row)
	}
	_ = rows.Flush() // writing to a strings.Builder can't fail
	return text.String()
}

func (f *Fleet) writeRows(row func(name, format string, values ...any)) {
	row("moves", "%d", f.Moves)
	for _, reason := range slices.Sorted(maps.Keys(f.MovesBy)) {
		row("  "+reason, "%d", f.MovesBy[reason])
	}
	row("overcommits", "%d", f.Overcommits)
	row("tokens generated, wasted", "%d, %d", f.TokensGenerated, f.TokensWasted)
	row("retries", "%d", f.Retries)
	row("refused as not run, yet run", "%d", f.RunsOfRefused)
}

func milliseconds(d time.Duration) string {
	return fmt.Sprintf("%.1fms", float64(d)/float64(time.Millisecond))
}

// wireSummary is the JSON form of Summary. Durations are strings such as "12.3ms".
type wireSummary struct {
	Length                   string
	Accelerators             int `json:",omitempty"`
	Attainment               float64
	AttainmentPerAccelerator float64 `json:",omitempty"`
	Goodput                  float64
	GoodputTokens            float64
	Counts                   Counts
	Refusals                 map[string]int `json:",omitempty"`
	Causes                   map[string]int `json:",omitempty"`
	NotKept                  int            `json:",omitempty"`
	FirstToken               wireQuantiles
	BetweenTokens            wireQuantiles
	Whole                    wireQuantiles
	SentLate                 wireQuantiles
	Fleet                    *Fleet `json:",omitempty"`
}

type wireQuantiles struct {
	Count int64
	P50   string
	P95   string
	P99   string
	Max   string
}

func encodeQuantiles(q Quantiles) wireQuantiles {
	return wireQuantiles{
		Count: q.Count,
		P50:   q.P50.String(),
		P95:   q.P95.String(),
		P99:   q.P99.String(),
		Max:   q.Max.String(),
	}
}

// JSON encodes the summary as indented JSON with a newline at its end.
func (s *Summary) JSON() ([]byte, error) {
	body, err := json.MarshalIndent(wireSummary{
		Length:                   s.Length.String(),
		Accelerators:             s.Accelerators,
		Attainment:               s.Attainment,
		AttainmentPerAccelerator: s.AttainmentPerAccelerator,
		Goodput:                  s.Goodput,
		GoodputTokens:            s.GoodputTokens,
		Counts:                   s.Counts,
		Refusals:                 s.Refusals,
		Causes:                   s.Causes,
		NotKept:                  s.NotKept,
		FirstToken:               encodeQuantiles(s.FirstToken),
		BetweenTokens:            encodeQuantiles(s.BetweenTokens),
		Whole:                    encodeQuantiles(s.Whole),
		SentLate:                 encodeQuantiles(s.SentLate),
		Fleet:                    s.Fleet,
	}, "", "  ")
	return append(body, '\n'), err
}
