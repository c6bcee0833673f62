package result

import (
	"maps"
	"sync"
	"time"

	"cicadaloom/internal/domain/ident"
)

// keysKept bounds the requests that are remembered to look for duplicates and
// untrue refusals; the first are kept, the rest counted in Summary.NotKept.
const keysKept = 1 << 18

// Collector adds records up. Its zero value is empty; it is safe for many
// goroutines.
type Collector struct {
	mu         sync.Mutex
	counts     Counts
	refusals   map[string]int
	causes     map[string]int
	answers    map[ident.IdempotencyKey]int
	notRun     []ident.RequestID
	notKept    int
	firstToken latencies
	whole      latencies
	between    latencies
	sentLate   latencies
}

// Counts are numbers of requests, but for Tokens.
type Counts struct {
	Asked    int
	Attained int
	Answered int
	Refused  int
	Cut      int
	NoAnswer int
	NotSent  int
	Late     int
	// Foreign are answers with a neighbour's marker, Wrong all other answers that
	// are not the request's own; Foreign is counted for cut answers too.
	Foreign int
	Wrong   int
	// Replayed are stored answers. Duplicates are keys that got more than one
	// answer that was not stored: the request ran twice.
	Replayed   int
	Duplicates int
	// Tokens are what callers got in whole answers that were not stored ones;
	// AttainedTokens what those got whose request was attained, TokensOfCut what
	// came in answers that were cut.
	Tokens         int64
	AttainedTokens int64
	TokensOfCut    int64
}

// Add takes a record in.
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
		c.answered(record)
	case Refused:
		c.refused(record)
	case Cut:
		c.counts.Cut++
		c.counts.TokensOfCut += int64(record.Tokens)
		count(&c.refusals, "cut "+labelled(record))
	case NoAnswer:
		c.counts.NoAnswer++
		count(&c.causes, record.Cause)
	}
}

func (c *Collector) answered(record *Record) {
	c.counts.Answered++
	if !record.Replayed {
		// An engine generated the tokens of a stored answer long ago: counted here
		// they would hide as many that were wasted.
		c.counts.Tokens += int64(record.Tokens)
	}
	if record.Content != Own && record.Content != Foreign {
		c.counts.Wrong++
	}
	c.whole.add(record.Whole)
	if record.Request.Chat != nil && record.Request.Chat.Stream {
		c.firstToken.add(record.FirstToken)
		for _, gap := range record.Gaps {
			c.between.add(gap)
		}
	}
	if record.Attained() {
		c.counts.Attained++
		c.counts.AttainedTokens += int64(record.Tokens)
	} else if record.Content == Own {
		c.counts.Late++
	}
	c.keyed(record)
}

func (c *Collector) keyed(record *Record) {
	key := record.Request.Key
	switch {
	case key == "":
		return
	case record.Replayed:
		c.counts.Replayed++
		return
	case len(c.answers) >= keysKept:
		c.notKept++
		return
	}
	count(&c.answers, key)
	if c.answers[key] == 2 {
		c.counts.Duplicates++
	}
}

func (c *Collector) refused(record *Record) {
	c.counts.Refused++
	count(&c.refusals, labelled(record))
	if record.Run != runNotRun {
		return
	}
	if len(c.notRun) >= keysKept {
		c.notKept++
		return
	}
	c.notRun = append(c.notRun, record.Request.ID)
}

// runNotRun is the word of an answer for a request that was not run.
const runNotRun = "NotRun"

func labelled(record *Record) string {
	code := record.Code
	if code == "" {
		code = "without code"
	}
	if record.Run == "" {
		return code
	}
	return code + " " + record.Run
}

func count[K comparable](counts *map[K]int, key K) {
	if *counts == nil {
		*counts = make(map[K]int)
	}
	(*counts)[key]++
}

// NotRun gives the requests whose refusal said that they were not run.
func (c *Collector) NotRun() []ident.RequestID {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]ident.RequestID(nil), c.notRun...)
}

// Summary gives what has been added up, over a load of so long a time for so
// many accelerators (0 where they are not known).
func (c *Collector) Summary(length time.Duration, accelerators int) Summary {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := Summary{
		Length:        length,
		Accelerators:  accelerators,
		Counts:        c.counts,
		Refusals:      maps.Clone(c.refusals),
		Causes:        maps.Clone(c.causes),
		NotKept:       c.notKept,
		FirstToken:    c.firstToken.quantiles(),
		Whole:         c.whole.quantiles(),
		BetweenTokens: c.between.quantiles(),
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
