// Package result adds up what became of the requests of a load.
//
// # Usage
//
//	var collector result.Collector // the zero value is empty
//	collector.Add(&result.Record{...}) // from any goroutine
//	summary := collector.Summary(length, accelerators)
//	fmt.Print(summary.Table())
//	body, err := summary.JSON()
//
// # What is measured
//
// Attainment is the share of all requests asked for that were attained:
// answered whole, with the right answer, with the first token within its
// promise and the mean time between tokens within its promise. Refusals, cut
// streams and requests that the tool could not send are all asked for, and not
// attained. An answer that is not streamed has to come within the time in which
// the last token of a stream would have had to come.
//
// Times count from the instant at which a request arrived by plan, not from the
// one at which the tool got round to send it: a tool or a server that falls
// behind can't hide the wait of those behind it (coordinated omission).
package result

import (
	"time"

	"cicadaloom/internal/load/demand"
)

// Kind is how a request ended.
type Kind string

// The ways in which a request ends.
const (
	// Answered is a whole answer, whatever it says.
	Answered Kind = "Answered"
	// Refused is an error answer of which nothing else was sent.
	Refused Kind = "Refused"
	// Cut is an answer that began and did not come to its end.
	Cut Kind = "Cut"
	// NoAnswer is a connection that failed, or was given up at the deadline,
	// before an answer began.
	NoAnswer Kind = "NoAnswer"
	// NotSent is a request that the tool kept back, since too many were open.
	NotSent Kind = "NotSent"
)

// Content is what an answer says.
type Content string

// What an answer can say.
const (
	// Own echoes the request's own marker and has all its tokens.
	Own Content = "Own"
	// Foreign has the marker of another request: a neighbour's answer.
	Foreign Content = "Foreign"
	// Short and Long have other numbers of tokens than were asked for, Unmarked
	// has no marker.
	Short    Content = "Short"
	Long     Content = "Long"
	Unmarked Content = "Unmarked"
)

// Record is what became of one request.
type Record struct {
	Request *demand.Request
	Kind    Kind
	// Content says what came, where the request was answered or cut.
	Content Content
	Status  int
	// Code and Run are the error's code and whether the request was run, as the
	// answer says; Cause is what went wrong on the tool's own side.
	Code  string
	Run   string
	Cause string
	// Replayed marks the stored answer of an earlier run.
	Replayed bool
	// SentLate is how long after its arrival the request was sent.
	SentLate time.Duration
	// FirstToken and Whole are times after the arrival, Gaps those between
	// tokens; Tokens counts the tokens that came.
	FirstToken time.Duration
	Whole      time.Duration
	Gaps       []time.Duration
	Tokens     int
}

// Attained tells whether the answer was whole, right and within its promise.
func (r *Record) Attained() bool {
	if r.Kind != Answered || r.Content != Own {
		return false
	}
	promise := &r.Request.Promise
	chat := r.Request.Chat
	switch {
	case chat == nil:
		return r.Whole <= promise.FirstToken
	case !chat.Stream:
		return r.Whole <= promise.FirstToken+time.Duration(chat.Tokens-1)*promise.BetweenTokens
	default:
		return r.FirstToken <= promise.FirstToken && r.meanGap() <= promise.BetweenTokens
	}
}

func (r *Record) meanGap() time.Duration {
	if len(r.Gaps) == 0 {
		return 0
	}
	total := time.Duration(0)
	for _, gap := range r.Gaps {
		total += gap
	}
	return total / time.Duration(len(r.Gaps))
}
