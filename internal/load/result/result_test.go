package result

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadaloom/internal/domain/document"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/load/demand"
)

func chatRequest(stream bool) *demand.Request {
	return &demand.Request{
		Promise: document.Promise{
			FirstToken:    100 * time.Millisecond,
			BetweenTokens: 10 * time.Millisecond,
		},
		Chat: &demand.Chat{
			Tokens: 3,
			Stream: stream,
		},
	}
}

func answeredRecord(first time.Duration, gaps ...time.Duration) *Record {
	return &Record{
		Request:    chatRequest(true),
		Kind:       Answered,
		Content:    Own,
		FirstToken: first,
		Gaps:       gaps,
		Tokens:     len(gaps) + 1,
	}
}

func TestAttainedNeedsOwnAnswerWithinPromise(t *testing.T) {
	const ms = time.Millisecond
	require.True(t, answeredRecord(100*ms, 2*ms, 18*ms).Attained())
	require.False(t, answeredRecord(101*ms, 2*ms, 2*ms).Attained(), "the first token is late")
	require.False(t, answeredRecord(10*ms, 2*ms, 19*ms).Attained(), "the mean between tokens is late")
	foreign := answeredRecord(10*ms, 2*ms, 2*ms)
	foreign.Content = Foreign
	require.False(t, foreign.Attained())
	cut := answeredRecord(10*ms, 2*ms, 2*ms)
	cut.Kind = Cut
	require.False(t, cut.Attained())
	whole := Record{
		Request:   chatRequest(false),
		Kind:      Answered,
		Content:   Own,
		TotalTime: 120 * ms,
	}
	require.True(t, whole.Attained())
	whole.TotalTime++
	require.False(t, whole.Attained(), "later than the promised last token of a stream")
	service := Record{
		Request: &demand.Request{
			Promise: document.Promise{
				FirstToken: 50 * ms,
			},
		},
		Kind:      Answered,
		Content:   Own,
		TotalTime: 51 * ms,
	}
	require.False(t, service.Attained())
}

func TestSummaryCountsEveryRequest(t *testing.T) {
	var collector Collector
	keyed := func(replayed bool) *Record {
		record := answeredRecord(time.Millisecond)
		record.Request.Key = "boat-7"
		record.Replayed = replayed
		return record
	}
	refused := func(id ident.RequestID, run string) *Record {
		return &Record{
			Request: &demand.Request{
				ID: id,
			},
			Kind: Refused,
			Code: "too_busy",
			Run:  run,
		}
	}
	foreign := answeredRecord(time.Millisecond)
	foreign.Content = Foreign
	short := answeredRecord(time.Millisecond)
	short.Content = Short
	for _, record := range []*Record{
		keyed(false), keyed(true), keyed(false), keyed(false),
		answeredRecord(time.Second), foreign, short,
		refused("r1", "NotRun"), refused("r2", "MayHaveRun"),
		{
			Request: chatRequest(true),
			Kind:    Cut,
			Code:    "stream_cut",
			Tokens:  2,
		},
		{
			Request: chatRequest(true),
			Kind:    NoAnswer,
			Cause:   "no connection",
		},
		{
			Request: chatRequest(true),
			Kind:    NotSent,
		},
	} {
		collector.Add(record)
	}
	s := collector.Summary(2*time.Second, 4)
	require.Equal(t, Counts{
		Asked:          12,
		Attained:       4,
		Answered:       7,
		Refused:        2,
		Cut:            1,
		NoAnswer:       1,
		NotSent:        1,
		Late:           1,
		Foreign:        1,
		Wrong:          1,
		Replayed:       1,
		Duplicates:     1,
		Tokens:         6,
		AttainedTokens: 4,
		TokensOfCut:    2,
	}, s.Counts)
	require.InDelta(t, 4.0/12, s.Attainment, 1e-9)
	require.InDelta(t, 4.0/48, s.AttainmentPerAccelerator, 1e-9)
	require.InDelta(t, 2, s.Goodput, 1e-9)
	require.Equal(t, map[string]int{"too_busy NotRun": 1, "too_busy MayHaveRun": 1, "cut stream_cut": 1}, s.Refusals)
	require.Equal(t, map[string]int{"no connection": 1}, s.Causes)
	require.Equal(t, []ident.RequestID{"r1"}, collector.NotRunRequests())
	require.Equal(t, int64(7), s.FirstToken.Count)
	require.InEpsilon(t, time.Second, s.FirstToken.P99, 0.01)

	require.Contains(t, s.Table(), "33.33%")
	body, err := s.JSON()
	require.NoError(t, err)
	var read map[string]any
	require.NoError(t, json.Unmarshal(body, &read))
	require.InDelta(t, 12, read["Counts"].(map[string]any)["Asked"], 0)
}

func TestOutOfRangeLatenciesAreClamped(t *testing.T) {
	var l latencyHistogram
	l.add(24 * time.Hour)
	l.add(-time.Second)
	require.Equal(t, int64(2), l.quantiles().Count)
	require.InEpsilon(t, maxLatency, l.quantiles().Max, 0.01)
	require.Zero(t, (&latencyHistogram{}).quantiles())
}
