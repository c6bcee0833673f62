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

// A request can crash each server that runs it, which cuts all other requests on
// that server. The server restarts with a new incarnation and empty memory.
func TestMarkedRequestCrashesEngine(t *testing.T) {
	b := startEngine(t, shortTimes()).loadBriefing()
	before := b.Incarnation()
	b.Faults.Set(Faults{
		CrashOnMarker: "poison",
	})
	neighbour := b.startStream(chatCall("att-1", "briefing", "x", 4000))
	require.Error(t, b.runCall(chatCall("att-2", "briefing", "some poison here", 5)))
	require.ErrorIs(t, readToEnd(neighbour), peer.ErrTruncatedStream)
	require.Eventually(t, func() bool {
		report, err := b.client.FetchReport(context.Background(), b.address)
		return err == nil && report.Incarnation != before && len(report.Residents) == 0
	}, waitTimeout, pollInterval)
	require.Equal(t, 1, b.Stats().Runs["of-att-2"], "the counters survive the crash")
	require.Equal(t, 1, b.Stats().Crashes)

	old := b.loadOrder("ord-9", "briefing", 1)
	old.Incarnation = before
	accepted, _ := b.sendOrder(old)
	require.False(t, accepted)
	b.Faults.Set(Faults{})
	require.NoError(t, b.loadBriefing().runCall(chatCall("att-3", "briefing", "some poison here", 5)))
}

// A frozen server accepts requests but answers none, including its report.
func TestFrozenEngineHoldsRequests(t *testing.T) {
	b := startEngine(t, shortTimes()).loadBriefing()
	b.Faults.Set(Faults{
		FreezeRequests: true,
	})
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
	defer cancel()
	_, err := b.client.Chat(ctx, b.address, chatCall("att-1", "briefing", "x", 1))
	var refusal *peer.Refusal
	require.ErrorAs(t, err, &refusal)
	require.False(t, refusal.ProvesNotRun())
	_, err = b.client.FetchReport(ctx, b.address)
	require.Error(t, err)

	var client tomb.Tomb
	client.Go(func() error { return b.runCall(chatCall("att-2", "briefing", "x", 1)) })
	b.Faults.Set(Faults{})
	require.NoError(t, client.Wait())
}

// A planned stop must not cut running requests.
func TestStopWaitsForRunningRequests(t *testing.T) {
	options := shortTimes()
	options.TimePerToken = 5 * time.Millisecond
	b := startEngine(t, options).loadBriefing()
	stream := b.startStream(chatCall("att-1", "briefing", "x", 30))
	var stop tomb.Tomb
	stop.Go(b.Stop)
	require.NoError(t, readToEnd(stream))
	require.NoError(t, stop.Wait())
	require.Equal(t, 1, b.Stats().Completed)
}

func TestLeavingEngineProvesNotRun(t *testing.T) {
	b := startEngine(t, shortTimes()).loadBriefing()
	b.Faults.Set(Faults{
		LeaveNow: true,
	})
	refusal := b.requireRefusal(chatCall("att-1", "briefing", "x", 1))
	require.Equal(t, http.StatusServiceUnavailable, refusal.Status)
	require.True(t, refusal.NotRun)
	report, err := b.client.FetchReport(context.Background(), b.address)
	require.NoError(t, err)
	require.True(t, report.Leaving)
	require.Empty(t, b.Stats().Runs)
}

// With old reports all hosts pick the same engine, which was idle when it
// reported.
func TestReportLagServesOldReport(t *testing.T) {
	b := startEngine(t, shortTimes())
	require.Eventually(t, func() bool {
		current := b.current()
		current.mu.Lock()
		defer current.mu.Unlock()
		return len(current.history) > 0
	}, waitTimeout, pollInterval)
	b.loadBriefing()
	residents := func() int {
		report, err := b.client.FetchReport(context.Background(), b.address)
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
	require.Eventually(t, func() bool { return residents() == 1 }, waitTimeout, pollInterval)
}

// A router that misses the eviction event still believes that the prompt is
// cached; a gap in the numbers shows the loss.
func TestCacheEventsAreNumberedWithGaps(t *testing.T) {
	options := shortTimes()
	options.CacheEntries = 2
	b := startEngine(t, options).loadBriefing()
	first, second := "a", "b"
	events := func(after int64) []backend.CacheEvent {
		got, err := b.client.FetchCacheEvents(context.Background(), b.address, after)
		require.NoError(t, err)
		require.Equal(t, b.Incarnation(), got.Incarnation)
		return got.Events
	}
	require.NoError(t, b.runCall(chatCall("att-1", "briefing", first, 1)))
	require.NoError(t, b.runCall(chatCall("att-2", "briefing", second, 1)))
	require.NoError(t, b.runCall(chatCall("att-3", "briefing", first, 1)), "a hit makes no event")
	stored := events(0)
	require.Len(t, stored, 2)
	request, err := engineapi.ParseChat(chatCall("att-1", "briefing", first, 1).Body)
	require.NoError(t, err)
	require.Equal(t, backend.CacheEvent{
		Number: 1,
		Model:  "briefing",
		Prefix: request.PrefixHashes()[0],
		Stored: true,
	}, stored[0])

	b.Faults.Set(Faults{
		CacheEventGaps: 3,
	})
	require.NoError(t, b.runCall(chatCall("att-4", "briefing", "c", 1)))
	evicted := events(2)
	require.Len(t, evicted, 1, "number 3 is lost")
	require.EqualValues(t, 4, evicted[0].Number)
	require.Equal(t, stored[1].Prefix, evicted[0].Prefix, "the least recently used goes")
	require.False(t, evicted[0].Stored)
}

func TestCacheEventsAreBounded(t *testing.T) {
	cache := newPrefixCache(10)
	for prefix := range uint64(maxCacheEvents * 2) {
		cache.store("m", prefix, 0)
	}
	require.Len(t, cache.events, maxCacheEvents)
	require.Equal(t, 10, cache.recent.Len())
	require.Len(t, cache.byPrefix, 10)
}

func TestTokenTimesFollowFormula(t *testing.T) {
	e := New(Options{})
	current := e.incarnation
	defer current.terminate()
	require.Equal(t, DefaultTimePerToken, current.tokenTime())
	current.running = DefaultSlots / 2
	require.Equal(t, DefaultTimePerToken*3/2, current.tokenTime())
	require.Equal(t, DefaultFirstTokenTime, current.firstTokenTime(0))
	require.Equal(t, DefaultFirstTokenTime*3/5, current.firstTokenTime(0.5))
	e.Faults.Set(Faults{
		SlowFactor: 10,
	})
	require.Equal(t, 10*DefaultFirstTokenTime, current.firstTokenTime(0))

	call, err := engineapi.ParseChat(chatCall("att-1", "briefing", "x", 1).Body)
	require.NoError(t, err)
	require.Zero(t, current.lookUpPrefixes(&call))
	require.InDelta(t, 1, current.lookUpPrefixes(&call), 0)
}

// Without priorities a report waits behind low-priority lookups; without a bound
// the queue accepts requests that can't be answered in time.
func TestQueueIsPriorityOrderedAndBounded(t *testing.T) {
	options := shortTimes()
	options.Slots = 1
	options.QueueLimit = 4
	current := newIncarnation(New(options))
	defer current.terminate()
	ctx := context.Background()
	require.NoError(t, current.acquire(ctx, 0, time.Time{}))
	tickets := make(map[string]*ticket)
	for _, arrival := range []struct {
		name     string
		priority int
	}{{"lookup", 2}, {"report", 0}, {"dispatch", 1}, {"second report", 0}} {
		queued, err := current.enqueue(arrival.priority)
		require.NoError(t, err)
		tickets[arrival.name] = queued
	}
	require.ErrorIs(t, current.acquire(ctx, 0, time.Time{}), errQueueFull)
	current.abandon(tickets["second report"])
	require.ErrorIs(t, current.acquire(ctx, 0, time.Now().Add(time.Millisecond)), errDeadlinePassed)
	cancelledContext, cancel := context.WithCancel(ctx)
	cancel()
	require.ErrorIs(t, current.acquire(cancelledContext, 0, time.Time{}), errCancelled)
	order := []string{"report", "dispatch", "lookup"}
	for i, next := range order {
		for _, waiting := range order[i:] {
			select {
			case <-tickets[waiting].granted:
				require.Fail(t, "too early", waiting)
			default:
			}
		}
		current.release()
		<-tickets[next].granted
	}
	current.release()
	require.Zero(t, current.running)
	require.Empty(t, current.queue)
}

func TestFullQueueRefusesWithRetryAfter(t *testing.T) {
	options := shortTimes()
	options.Slots = 1
	options.QueueLimit = 1
	b := startEngine(t, options).loadBriefing()
	running := b.startStream(chatCall("att-1", "briefing", "x", 4000))
	defer running.Close()
	queued, err := b.current().enqueue(0)
	require.NoError(t, err)
	refusal := b.requireRefusal(chatCall("att-2", "briefing", "x", 1))
	require.Equal(t, http.StatusTooManyRequests, refusal.Status)
	require.True(t, refusal.NotRun)
	require.True(t, refusal.RetryAfter.After(time.Now()))
	b.current().abandon(queued)
	late := chatCall("att-3", "briefing", "x", 1)
	late.Deadline = time.Now().Add(5 * time.Millisecond)
	require.True(t, b.requireRefusal(late).NotRun)
}

func TestRunCountsAreBounded(t *testing.T) {
	var counted counters
	for i := range maxCountedRequests + 5 {
		counted.countRun(ident.RequestID(fmt.Sprint(i)))
	}
	counted.countRun("0")
	require.Len(t, counted.stats.Runs, maxCountedRequests)
	require.Equal(t, 5, counted.stats.RunsNotKept)
	require.Equal(t, 2, counted.stats.Runs["0"], "a kept count is never dropped")
}

func TestAnswersAreBoundedAtRuneBoundaries(t *testing.T) {
	long := engineapi.Chat{
		Model:     "m",
		MaxTokens: 1 << 30,
		Messages: []engineapi.Message{{
			Role: "user",
			Text: strings.Repeat("عمّان", 100),
		}},
	}
	script := newScript(&long, "1")
	require.Equal(t, maxTokens, script.length)
	require.True(t, strings.HasPrefix(script.message, strings.TrimPrefix(script.token(0), "m/1: echo of ")))
	require.Equal(t, script.token(7), newScript(&long, "2").token(7))
	require.NotEqual(t, script.token(7), script.token(8))
}
