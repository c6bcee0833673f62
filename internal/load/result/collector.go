package result

import (
	"maps"
	"sync"
	"time"

	"cicadaloom/internal/domain/ident"
)

// maxTracked bounds the idempotency keys, and the refused requests, that are stored
// to detect duplicates and false refusals. The first ones are stored; the rest are
// counted in Summary.NotKept.
const maxTracked = 1 << 18

// Collector sums up records. Its zero value is empty and ready to use. It is safe for
// concurrent use.
type Collector struct {
	mu            sync.Mutex
	counts        Counts
	refusals      map[string]int
	causes        map[string]int
	answersByKey  map[ident.IdempotencyKey]int
	notRun        []ident.RequestID
	numUntracked  int
	firstToken    latencyHistogram
	wholeAnswer   latencyHistogram
	betweenTokens latencyHistogram
	sentLate      latencyHistogram
}

// Counts are numbers of requests, except those of tokens. They are encoded as JSON
// under their field names.
type Counts struct {
	Asked    int
	Attained int
	Answered int
	Refused  int
	Cut      int
	NoAnswer int
	NotSent  int
	Late     int
	// Foreign counts answers with the marker of another request, including cut
	// answers. Wrong counts the other whole answers with wrong content.
	Foreign int
	Wrong   int
	// Replayed counts stored answers of an earlier run. Duplicates counts the keys
	// that got more than one answer that was not replayed: the request ran twice.
	Replayed   int
	Duplicates int
	// Tokens counts the tokens of whole answers that were not replayed,
	// AttainedTokens those of attained requests, TokensOfCut those of cut answers.
	Tokens         int64
	AttainedTokens int64
	TokensOfCut    int64
}

// Add counts a record.
func (c *Collector) Add(record *Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Asked++
	if record.Kind == NotSent {
		c.counts.NotSent++
		return
	}
	c.sentLate.add(record.SentLate)
	if record.Content == Foreign {
		c.counts.Foreign++
	}
	switch record.Kind {
	case Answered:
		c.addAnswered(record)
	case Refused:
		c.addRefused(record)
	case Cut:
		c.counts.Cut++
		c.counts.TokensOfCut += int64(record.Tokens)
		increment(&c.refusals, "cut "+refusalLabel(record))
	case NoAnswer:
		c.counts.NoAnswer++
		increment(&c.causes, record.Cause)
	}
}

func (c *Collector) addAnswered(record *Record) {
	c.counts.Answered++
	if !record.Replayed {
		// The tokens of a replayed answer were generated and counted before: counted
		// again they would hide as many wasted ones.
		c.counts.Tokens += int64(record.Tokens)
	}
	if record.Content != Own && record.Content != Foreign {
		c.counts.Wrong++
	}
	c.wholeAnswer.add(record.TotalTime)
	if record.Request.Chat != nil && record.Request.Chat.Stream {
		c.firstToken.add(record.FirstToken)
		for _, gap := range record.Gaps {
			c.betweenTokens.add(gap)
		}
	}
	if record.Attained() {
		c.counts.Attained++
		c.counts.AttainedTokens += int64(record.Tokens)
	} else if record.Content == Own {
		c.counts.Late++
	}
	c.addKeyed(record)
}

func (c *Collector) addKeyed(record *Record) {
	key := record.Request.Key
	switch {
	case key == "":
		return
	case record.Replayed:
		c.counts.Replayed++
		return
	case len(c.answersByKey) >= maxTracked:
		c.numUntracked++
		return
	}
	increment(&c.answersByKey, key)
	if c.answersByKey[key] == 2 {
		c.counts.Duplicates++
	}
}

func (c *Collector) addRefused(record *Record) {
	c.counts.Refused++
	increment(&c.refusals, refusalLabel(record))
	if record.Run != notRunValue {
		return
	}
	if len(c.notRun) >= maxTracked {
		c.numUntracked++
		return
	}
	c.notRun = append(c.notRun, record.Request.ID)
}

// notRunValue is the value of Record.Run for a request that was not run.
const notRunValue = "NotRun"

func refusalLabel(record *Record) string {
	code := record.Code
	if code == "" {
		code = "without code"
	}
	if record.Run == "" {
		return code
	}
	return code + " " + record.Run
}

func increment[K comparable](counts *map[K]int, key K) {
	if *counts == nil {
		*counts = make(map[K]int)
	}
	(*counts)[key]++
}

// NotRunRequests returns the requests whose refusal said that they were not run, up to a
// limit.
func (c *Collector) NotRunRequests() []ident.RequestID {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]ident.RequestID(nil), c.notRun...)
}

// Summary returns the results so far, for a load run of the given length and a fleet
// with that many accelerators (0 if unknown).
func (c *Collector) Summary(length time.Duration, accelerators int) Summary {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := Summary{
		Length:        length,
		Accelerators:  accelerators,
		Counts:        c.counts,
		Refusals:      maps.Clone(c.refusals),
		Causes:        maps.Clone(c.causes),
		NotKept:       c.numUntracked,
		FirstToken:    c.firstToken.quantiles(),
		Whole:         c.wholeAnswer.quantiles(),
		BetweenTokens: c.betweenTokens.quantiles(),
		SentLate:      c.sentLate.quantiles(),
	}
	if s.Asked > 0 {
		s.Attainment = float64(s.Attained) / float64(s.Asked)
	}
	if length > 0 {
		s.Goodput = float64(s.Attained) / length.Seconds()
		s.GoodputTokens = float64(s.AttainedTokens) / length.Seconds()
	}
	if accelerators > 0 {
		s.AttainmentPerAccelerator = s.Attainment / float64(accelerators)
	}
	return s
}
