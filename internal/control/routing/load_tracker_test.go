package routing

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadaloom/internal/domain/ident"
)

// A report arrives with a lag. If the host subtracted its present requests in
// flight from the reported queue, an idle server would look busy, or a busy one
// idle, because of requests sent or answered since. Only the host's requests in
// flight when the report was made are part of it.
func TestReportedQueueExcludesOwnRequestsAtReportTime(t *testing.T) {
	f := newTestFleet(1, 1, 1, 0)
	tracker := f.firstTarget().Replicas[0].LoadTracker
	for range 5 {
		tracker.StartRequest(f.now)
	}
	taken := f.now.Add(200 * time.Millisecond)
	f.now = f.now.Add(400 * time.Millisecond)
	for range 3 {
		tracker.RecordAnswer(f.now, Timing{})
	}
	f.now = f.now.Add(100 * time.Millisecond)

	report := *f.reports[engineName(0)]
	report.ReportedAt = taken
	report.Running = 7 // five of them are this host's
	f.machine.Step(f.now, ReportReceived{
		Report: report,
	})
	require.InDelta(t, 2+2, tracker.EstimateQueue(taken), 0.01)
	require.Less(t, tracker.EstimateQueue(f.now), 4.0, "the older the report, the less it says")
	require.False(t, tracker.IsIdle())
}

// With old reports alone, each host takes a server for idle while the others fill
// it. The requests in flight that peers report count at once.
func TestPeerRequestsAreLowerBoundOfQueue(t *testing.T) {
	f := newTestFleet(1, 1, 1, 0)
	tracker := f.firstTarget().Replicas[0].LoadTracker
	for i, peer := range []PeerInFlight{
		{Host: "entry-1", Requests: map[ident.ServerName]int64{engineName(0): 4}},
		{Host: "entry-2", Requests: map[ident.ServerName]int64{engineName(0): 3}},
		{Host: "entry-1", Requests: map[ident.ServerName]int64{engineName(0): 1}},
	} {
		f.machine.Step(f.now, peer)
		require.InDelta(t, []float64{4, 7, 4}[i], tracker.EstimateQueue(f.now), 0.01)
	}
	f.machine.Step(f.now, PeerGone{
		Host: "entry-2",
	})
	require.InDelta(t, 1, tracker.EstimateQueue(f.now), 0.01)
}

// If the wait in the queue counted as prefill time, a server that was once busy
// would look slow and get no further requests.
func TestQueueWaitDoesNotRaisePrefillTime(t *testing.T) {
	var tracker LoadTracker
	now := time.Unix(1_000_000, 0)
	for range 50 {
		queued := tracker.StartRequest(now)
		tracker.RecordAnswer(now, Timing{
			FirstToken: 40 * time.Millisecond,
			Total:      200 * time.Millisecond,
			Queued:     queued,
		})
	}
	for range defaultSlots {
		tracker.StartRequest(now)
	}
	require.True(t, tracker.StartRequest(now))
	tracker.RecordAnswer(now, Timing{
		FirstToken: 2 * time.Second,
		Total:      2160 * time.Millisecond,
		Queued:     true,
	})
	require.InDelta(t, 40, float64(tracker.PrefillTime().Milliseconds()), 1)
	require.InDelta(t, 160, float64(tracker.GenerationTime().Milliseconds()), 1)
}

func TestCountHistoryReturnsPastCounts(t *testing.T) {
	var h countHistory
	start := time.Unix(2_000_000, 0)
	count := int64(0)
	for i := range 300 { // one more every 10 ms, overwriting the ring
		h.record(start.Add(time.Duration(i)*10*time.Millisecond), count, count+1)
		count++
	}
	now := start.Add(3 * time.Second)
	for _, ago := range []time.Duration{0, 100 * time.Millisecond, time.Second, 2 * time.Second} {
		want := float64(count) - ago.Seconds()*100
		require.InDelta(t, want, float64(h.countAt(now.Add(-ago), now, count)), 2, "%v ago", ago)
	}
	require.Equal(t, count, h.countAt(now.Add(time.Minute), now, count), "a server's clock that is ahead")
	later := now.Add(time.Hour)
	require.Equal(t, count, h.countAt(later.Add(-time.Second), later, count), "nothing has changed for long")

	var wait sync.WaitGroup
	for range 8 {
		wait.Go(func() {
			for range 1000 {
				h.record(now, 5, 6)
			}
		})
	}
	wait.Wait()
	require.EqualValues(t, 6, h.countAt(now, now.Add(time.Millisecond), 9))
}
