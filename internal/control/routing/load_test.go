package routing

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadaloom/internal/domain/ident"
)

// A server looks full that is empty, or the other way round: its report comes
// with a lag, and the host takes off, or leaves in, requests that it has sent
// or had answered since the report was taken. Only what the host had there when
// the report was taken is in it.
func TestReportIsLessWhatWasOwnWhenItWasTaken(t *testing.T) {
	w := newWorld(1, 1, 1, 0)
	gauge := w.target().Replicas[0].Gauge
	for range 5 {
		gauge.Begin(w.now)
	}
	taken := w.now.Add(200 * time.Millisecond)
	w.now = w.now.Add(400 * time.Millisecond)
	for range 3 {
		gauge.Answered(w.now, Timing{})
	}
	w.now = w.now.Add(100 * time.Millisecond)

	report := *w.reports[engineName(0)]
	report.At = taken
	report.Running = 7 // five of them this host's
	w.machine.Step(w.now, Reported{
		Report: report,
	})
	require.InDelta(t, 2+2, gauge.Queue(taken), 0.01)
	require.Less(t, gauge.Queue(w.now), 4.0, "the older the report, the less it says")
	require.False(t, gauge.Idle())
}

// Each host believes that a server is idle while the others fill it: the report
// is from before. What peers say they have there counts at once.
func TestPeersWordIsALowerBound(t *testing.T) {
	w := newWorld(1, 1, 1, 0)
	gauge := w.target().Replicas[0].Gauge
	for i, peer := range []PeerLoads{
		{Host: "entry-1", Loads: map[ident.ServerName]int64{engineName(0): 4}},
		{Host: "entry-2", Loads: map[ident.ServerName]int64{engineName(0): 3}},
		{Host: "entry-1", Loads: map[ident.ServerName]int64{engineName(0): 1}},
	} {
		w.machine.Step(w.now, peer)
		require.InDelta(t, []float64{4, 7, 4}[i], gauge.Queue(w.now), 0.01)
	}
	w.machine.Step(w.now, PeerGone{
		Host: "entry-2",
	})
	require.InDelta(t, 1, gauge.Queue(w.now), 0.01)
}

// One server is never asked again: it was busy once, its answers waited in the
// queue, and the wait was taken for its pace.
func TestWaitInTheQueueIsNotThePace(t *testing.T) {
	var gauge Gauge
	now := time.Unix(1_000_000, 0)
	for range 50 {
		queued := gauge.Begin(now)
		gauge.Answered(now, Timing{
			FirstToken: 40 * time.Millisecond,
			Whole:      200 * time.Millisecond,
			Queued:     queued,
		})
	}
	for range unknownSlots {
		gauge.Begin(now)
	}
	require.True(t, gauge.Begin(now))
	gauge.Answered(now, Timing{
		FirstToken: 2 * time.Second,
		Whole:      2160 * time.Millisecond,
		Queued:     true,
	})
	require.InDelta(t, 40, float64(gauge.Prompt().Milliseconds()), 1)
	require.InDelta(t, 160, float64(gauge.Generation().Milliseconds()), 1)
}

func TestHistory(t *testing.T) {
	var h history
	start := time.Unix(2_000_000, 0)
	count := int64(0)
	for i := range 300 { // one more every 10 ms, twice round the ring
		h.note(start.Add(time.Duration(i)*10*time.Millisecond), count, count+1)
		count++
	}
	now := start.Add(3 * time.Second)
	for _, ago := range []time.Duration{0, 100 * time.Millisecond, time.Second, 2 * time.Second} {
		want := float64(count) - ago.Seconds()*100
		require.InDelta(t, want, float64(h.at(now.Add(-ago), now, count)), 2, "%v ago", ago)
	}
	require.Equal(t, count, h.at(now.Add(time.Minute), now, count), "a server's clock that is ahead")
	later := now.Add(time.Hour)
	require.Equal(t, count, h.at(later.Add(-time.Second), later, count), "nothing has changed for long")

	var wait sync.WaitGroup
	for range 8 {
		wait.Go(func() {
			for range 1000 {
				h.note(now, 5, 6)
			}
		})
	}
	wait.Wait()
	require.EqualValues(t, 6, h.at(now, now.Add(time.Millisecond), 9))
}
