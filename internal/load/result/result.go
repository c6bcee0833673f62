// Package result collects the results of the requests of a load run. Package openloop
// makes a Record for each request; a Collector counts them and builds histograms of
// their latencies; its Summary is printed as a table or encoded as JSON.
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
// Attainment is the share of all requests that were attained: answered whole and
// with the right content, with both the first token and the mean time between tokens
// within their promised times. Refusals, cut streams and requests that could not be
// sent count among all requests, and are not attained. An unstreamed answer has to
// arrive by the time that is promised for the last token of a stream.
//
// Times start at the planned arrival of a request, not when it was sent. Otherwise a
// sender or server that falls behind would hide the waiting time of the requests
// behind it (coordinated omission).
package result

import (
	"time"

	"cicadaloom/internal/load/demand"
)

// Kind is how a request ended.
type Kind string

// The ways in which a request ends.
const (
	// Answered is a whole answer, whatever its content.
	Answered Kind = "Answered"
	// Refused is an error response in place of an answer.
	Refused Kind = "Refused"
	// Cut is an answer that started and did not reach its end.
	Cut Kind = "Cut"
	// NoAnswer is a request whose connection failed, or that was abandoned after its
	// deadline, before an answer started.
	NoAnswer Kind = "NoAnswer"
	// NotSent is a request that was not sent, since too many were open.
	NotSent Kind = "NotSent"
)

// Content classifies the text of an answer.
type Content string

// The classes of content.
const (
	// Own echoes the marker of its request and has the requested number of tokens.
	Own Content = "Own"
	// Foreign has the marker of another request: it was meant for another caller.
	Foreign Content = "Foreign"
	// Short and Long have fewer or more tokens than requested, Unmarked has no
	// marker.
	Short    Content = "Short"
	Long     Content = "Long"
	Unmarked Content = "Unmarked"
)

// Record is the result of one request.
type Record struct {
	Request *demand.Request
	Kind    Kind
	// Content is set if the request was answered or cut.
	Content Content
	Status  int
	// Code and Run are from the answer: the code of the error, and whether the
	// request was run. Cause is why the sender got no answer.
	Code  string
	Run   string
	Cause string
	// Replayed tells that this is the stored answer of an earlier run.
	Replayed bool
	// SentLate is how long after its planned arrival the request was sent.
	SentLate time.Duration
	// FirstToken and TotalTime are times from the planned arrival to the first token
	// and to the end of the answer; Gaps are the times between tokens; Tokens is the
	// number of tokens received.
	FirstToken time.Duration
	TotalTime  time.Duration
	Gaps       []time.Duration
	Tokens     int
}

// Attained reports whether the answer was whole, right and within its promised time.
func (r *Record) Attained() bool {
	if r.Kind != Answered || r.Content != Own {
		return false
	}
	promise := &r.Request.Promise
	chat := r.Request.Chat
	switch {
	case chat == nil:
		return r.TotalTime <= promise.FirstToken
	case !chat.Stream:
		return r.TotalTime <= promise.FirstToken+time.Duration(chat.Tokens-1)*promise.BetweenTokens
	default:
		return r.FirstToken <= promise.FirstToken && r.meanTokenGap() <= promise.BetweenTokens
	}
}

func (r *Record) meanTokenGap() time.Duration {
	if len(r.Gaps) == 0 {
		return 0
	}
	total := time.Duration(0)
	for _, gap := range r.Gaps {
		total += gap
	}
	return total / time.Duration(len(r.Gaps))
}
