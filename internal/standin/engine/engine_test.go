package engine

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"gopkg.in/tomb.v2"

	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
	peer "cicadaloom/internal/peer/engine"
	"cicadaloom/internal/standin/fault"
	"cicadaloom/internal/wire/engineapi"
)

// Now and then one request ends each server that runs it, and all that run
// beside it are cut. The server is back with another life and empty memory.
func TestAMarkedRequestEndsTheProcess(t *testing.T) {
	b := newBench(t, quick()).ready()
	before := b.Incarnation()
	b.Faults.Set(Faults{
		CrashOnMarker: "poison",
	})
	neighbour := b.begin(chat("att-1", "briefing", "x", 4000))
	require.Error(t, b.run(chat("att-2", "briefing", "some poison here", 5)))
	require.ErrorIs(t, finish(neighbour), peer.ErrCutStream)
	require.Eventually(t, func() bool {
		report, err := b.client.Report(context.Background(), b.address)
		return err == nil && report.Incarnation != before && len(report.Residents) == 0
	}, patience, tick)
	require.Equal(t, 1, b.Stats().Runs["of-att-2"], "the ledger outlives the crash")
	require.Equal(t, 1, b.Stats().Crashes)

	old := b.load("ord-9", "briefing", 1)
	old.Incarnation = before
	accepted, _ := b.send(old)
	require.False(t, accepted)
	b.Faults.Set(Faults{})
	require.NoError(t, b.ready().run(chat("att-3", "briefing", "some poison here", 5)))
}

// A server hangs: it takes requests and answers none, its report neither.
func TestAFrozenEngineHoldsItsRequests(t *testing.T) {
	b := newBench(t, quick()).ready()
	b.Faults.Set(Faults{
		FreezeRequests: true,
	})
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
	defer cancel()
	_, err := b.client.Chat(ctx, b.address, chat("att-1", "briefing", "x", 1))
	var refusal *peer.Refusal
	require.ErrorAs(t, err, &refusal)
	require.False(t, refusal.ProvesNotRun())
	_, err = b.client.Report(ctx, b.address)
	require.Error(t, err)

	var thaw tomb.Tomb
	thaw.Go(func() error { return b.run(chat("att-2", "briefing", "x", 1)) })
	b.Faults.Set(Faults{})
	require.NoError(t, thaw.Wait())
}

// A planned stop cuts the briefing that is just being read.
func TestAStopLetsRequestsEnd(t *testing.T) {
	options := quick()
	options.PerToken = 5 * time.Millisecond
	b := newBench(t, options).ready()
	stream := b.begin(chat("att-1", "briefing", "x", 30))
	var stop tomb.Tomb
	stop.Go(b.Stop)
	require.NoError(t, finish(stream))
	require.NoError(t, stop.Wait())
	require.Equal(t, 1, b.Stats().Completed)
}

func TestALeavingEngineRefusesWithProof(t *testing.T) {
	b := newBench(t, quick()).ready()
	b.Faults.Set(Faults{
		LeaveNow: true,
	})
	refusal := b.refused(chat("att-1", "briefing", "x", 1))
	require.Equal(t, http.StatusServiceUnavailable, refusal.Status)
	require.True(t, refusal.NotRun)
	report, err := b.client.Report(context.Background(), b.address)
	require.NoError(t, err)
	require.True(t, report.Leaving)
	require.Empty(t, b.Stats().Runs)
}

// All hosts pick the same idle engine, since its report is of long ago.
func TestTheReportLags(t *testing.T) {
	b := newBench(t, quick())
	require.Eventually(t, func() bool {
		life := b.current()
		life.mu.Lock()
		defer life.mu.Unlock()
		return len(life.history) > 0
	}, patience, tick)
	b.ready()
	residents := func() int {
		report, err := b.client.Report(context.Background(), b.address)
		require.NoError(t, err)
		return len(report.Residents)
	}
	require.Equal(t, 1, residents())
	b.Faults.Set(Faults{
		ReportLag: fault.Duration(time.Hour),
	})
	require.Zero(t, residents())
	b.Faults.Set(Faults{
		ReportLag: fault.Duration(time.Millisecond),
	})
	require.Eventually(t, func() bool { return residents() == 1 }, patience, tick)
}

// The router believes a prompt cached that was evicted: the event is missing.
func TestCacheEventsHaveNumbersAndGaps(t *testing.T) {
	options := quick()
	options.CacheEntries = 2
	b := newBench(t, options).ready()
	first, second := "a", "b"
	events := func(after int64) []backend.CacheEvent {
		got, err := b.client.CacheEvents(context.Background(), b.address, after)
		require.NoError(t, err)
		require.Equal(t, b.Incarnation(), got.Incarnation)
		return got.Events
	}
	require.NoError(t, b.run(chat("att-1", "briefing", first, 1)))
	require.NoError(t, b.run(chat("att-2", "briefing", second, 1)))
	require.NoError(t, b.run(chat("att-3", "briefing", first, 1)), "a hit makes no event")
	stored := events(0)
	require.Len(t, stored, 2)
	request, err := engineapi.ParseChat(chat("att-1", "briefing", first, 1).Body)
	require.NoError(t, err)
	require.Equal(t, backend.CacheEvent{
		Number: 1,
		Model:  "briefing",
		Prefix: request.Prefixes()[0],
		Stored: true,
	}, stored[0])

	b.Faults.Set(Faults{
		CacheEventGaps: 3,
	})
	require.NoError(t, b.run(chat("att-4", "briefing", "c", 1)))
	evicted := events(2)
	require.Len(t, evicted, 1, "number 3 is lost")
	require.EqualValues(t, 4, evicted[0].Number)
	require.Equal(t, stored[1].Prefix, evicted[0].Prefix, "the least recently used goes")
	require.False(t, evicted[0].Stored)
}

func TestCacheEventsAreBounded(t *testing.T) {
	cache := newPrefixCache(10)
	for prefix := range uint64(eventsKept * 2) {
		cache.store("m", prefix, 0)
	}
	require.Len(t, cache.events, eventsKept)
	require.Equal(t, 10, cache.recent.Len())
	require.Len(t, cache.byPrefix, 10)
}

func TestTimesFollowTheFormula(t *testing.T) {
	e := New(Options{})
	life := e.life
	defer life.end()
	require.Equal(t, DefaultPerToken, life.tokenTime())
	life.running = DefaultSlots / 2
	require.Equal(t, DefaultPerToken*3/2, life.tokenTime())
	require.Equal(t, DefaultFirstToken, life.firstTokenTime(0))
	require.Equal(t, DefaultFirstToken*3/5, life.firstTokenTime(0.5))
	e.Faults.Set(Faults{
		SlowFactor: 10,
	})
	require.Equal(t, 10*DefaultFirstToken, life.firstTokenTime(0))

	call, err := engineapi.ParseChat(chat("att-1", "briefing", "x", 1).Body)
	require.NoError(t, err)
	require.Zero(t, life.lookUpPrefixes(&call))
	require.InDelta(t, 1, life.lookUpPrefixes(&call), 0)
}

// A paying customer's report waits behind status lookups, or a queue without
// end hides that nothing of it can be answered in time.
func TestTheQueueGoesByPriorityAndIsBounded(t *testing.T) {
	options := quick()
	options.Slots = 1
	options.QueueLimit = 4
	life := newLife(New(options))
	defer life.end()
	ctx := context.Background()
	require.NoError(t, life.acquire(ctx, 0, time.Time{}))
	places := make(map[string]*ticket)
	for _, arrival := range []struct {
		name     string
		priority int
	}{{"lookup", 2}, {"report", 0}, {"dispatch", 1}, {"second report", 0}} {
		place, err := life.enqueue(arrival.priority)
		require.NoError(t, err)
		places[arrival.name] = place
	}
	require.ErrorIs(t, life.acquire(ctx, 0, time.Time{}), errQueueFull)
	life.giveUp(places["second report"])
	require.ErrorIs(t, life.acquire(ctx, 0, time.Now().Add(time.Millisecond)), errTooLate)
	gone, cancel := context.WithCancel(ctx)
	cancel()
	require.ErrorIs(t, life.acquire(gone, 0, time.Time{}), errCancelled)
	order := []string{"report", "dispatch", "lookup"}
	for i, next := range order {
		for _, waiting := range order[i:] {
			select {
			case <-places[waiting].granted:
				require.Fail(t, "too early", waiting)
			default:
			}
		}
		life.release()
		<-places[next].granted
	}
	life.release()
	require.Zero(t, life.running)
	require.Empty(t, life.queue)
}

func TestAFullQueueRefusesWithProofAndTime(t *testing.T) {
	options := quick()
	options.Slots = 1
	options.QueueLimit = 1
	b := newBench(t, options).ready()
	running := b.begin(chat("att-1", "briefing", "x", 4000))
	defer running.Close()
	place, err := b.current().enqueue(0)
	require.NoError(t, err)
	refusal := b.refused(chat("att-2", "briefing", "x", 1))
	require.Equal(t, http.StatusTooManyRequests, refusal.Status)
	require.True(t, refusal.NotRun)
	require.True(t, refusal.RetryAfter.After(time.Now()))
	b.current().giveUp(place)
	late := chat("att-3", "briefing", "x", 1)
	late.Deadline = time.Now().Add(5 * time.Millisecond)
	require.True(t, b.refused(late).NotRun)
}

func TestTheLedgerIsBounded(t *testing.T) {
	var ledger ledger
	for i := range runsKept + 5 {
		ledger.ran(ident.RequestID(fmt.Sprint(i)))
	}
	ledger.ran("0")
	require.Len(t, ledger.stats.Runs, runsKept)
	require.Equal(t, 5, ledger.stats.RunsNotKept)
	require.Equal(t, 2, ledger.stats.Runs["0"], "what is kept is never forgotten")
}

func TestAnswersAreBoundedAndWholeCharacters(t *testing.T) {
	long := engineapi.Chat{
		Model:     "m",
		MaxTokens: 1 << 30,
		Messages: []engineapi.Message{{
			Role: "user",
			Text: strings.Repeat("عمّان", 100),
		}},
	}
	script := newScript(&long, "1")
	require.Equal(t, tokensLimit, script.length)
	require.True(t, strings.HasPrefix(script.message, strings.TrimPrefix(script.token(0), "m/1: echo of ")))
	require.Equal(t, script.token(7), newScript(&long, "2").token(7))
	require.NotEqual(t, script.token(7), script.token(8))
}
