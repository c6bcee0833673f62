package polling

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadaloom/internal/domain/ident"
)

var start = time.Date(2026, 12, 3, 20, 0, 0, 0, time.UTC)

// step is the time between two searches of the simulated leader.
const step = 100 * time.Millisecond

func newSchedule(engines int) *Schedule {
	names := make([]ident.ServerName, 0, engines)
	for i := range engines {
		names = append(names, ident.ServerName("e"+strconv.Itoa(i)))
	}
	var schedule Schedule
	schedule.SetEngines(names)
	return &schedule
}

func none(ident.ServerName) bool { return false }

// Guards against a leader whose processor is used up by reports of thousands of engines, and
// against engines that are never asked.
func TestCallsAreBoundedAndReachAllEngines(t *testing.T) {
	for _, engines := range []int{0, 1, 12, 64, 112, 850, 3900, 7800} {
		schedule := newSchedule(engines)
		asked := make(map[ident.ServerName]time.Time)
		calls := 0
		const length = 40 * time.Second
		for now := start; now.Before(start.Add(length)); now = now.Add(step) {
			for _, name := range schedule.TakeDue(now, none) {
				if before, known := asked[name]; known {
					require.LessOrEqual(t, now.Sub(before), Interval(engines)+2*step, "%d engines", engines)
				}
				asked[name] = now
				calls++
			}
		}
		require.Len(t, asked, engines)
		require.LessOrEqual(t, calls, int(callsPerSecond*length.Seconds())+maxCredit)
	}
}

// Guards against a mass of pending orders whose reports take more calls than all others.
func TestCallsAreBoundedWhileAllEnginesAreUrgent(t *testing.T) {
	schedule := newSchedule(3900)
	calls := 0
	for now := start; now.Before(start.Add(20 * time.Second)); now = now.Add(step) {
		calls += len(schedule.TakeDue(now, func(ident.ServerName) bool { return true }))
	}
	require.LessOrEqual(t, calls, 20*callsPerSecond+maxCredit)
}

// Guards against a pending order whose end is noticed as late as in a fleet of any size an idle
// engine's report comes.
func TestUrgentAndSilentEnginesAreAskedSoon(t *testing.T) {
	for _, engines := range []int{12, 850, 7800} {
		schedule := newSchedule(engines)
		var asked, silentAsked []time.Time
		schedule.RecordSilence("e5")
		for now := start; now.Before(start.Add(20 * time.Second)); now = now.Add(step) {
			for _, name := range schedule.TakeDue(now, func(name ident.ServerName) bool { return name == "e3" }) {
				switch name {
				case "e3":
					asked = append(asked, now)
				case "e5":
					silentAsked = append(silentAsked, now)
				}
			}
		}
		for _, list := range [][]time.Time{asked, silentAsked} {
			for i := range list[1:] {
				require.LessOrEqual(t, list[i+1].Sub(list[i]), minInterval+2*step, "%d engines", engines)
			}
		}
	}
}

// Guards against a list that is replaced, as in a fleet whose servers are replaced one after the
// other, and makes all engines due at once or never.
func TestEnginesKeepTheirTimeInANewList(t *testing.T) {
	schedule := newSchedule(3)
	require.Len(t, schedule.TakeDue(start, none), 3)
	require.True(t, schedule.RecordSilence("e1"))
	require.False(t, schedule.RecordSilence("e1"))
	schedule.SetEngines([]ident.ServerName{"e1", "e2", "e9"})
	require.Equal(t, []ident.ServerName{"e9"}, schedule.TakeDue(start.Add(step), none))
	require.True(t, schedule.RecordAnswer("e1"))
	require.False(t, schedule.RecordAnswer("e0"), "it is not listed any more")
}

func TestIntervalGrowsWithEngines(t *testing.T) {
	require.Equal(t, minInterval, Interval(0))
	require.Equal(t, minInterval, Interval(quickEngines))
	require.Equal(t, slowInterval, Interval(100))
	for engines := 1; engines < 9000; engines += 7 {
		require.GreaterOrEqual(t, Interval(engines)+time.Nanosecond, time.Second*time.Duration(engines)/callsPerSecond)
	}
}
