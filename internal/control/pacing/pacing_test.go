package pacing

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadaloom/internal/domain/ident"
)

var start = time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)

// longestPause returns the longest pause between two events of a stream at an engine that
// prefills all prompts that have arrived since its last step in the next one.
func longestPause(sentAt []time.Time, prefillTimes []time.Duration) time.Duration {
	const step = 11 * time.Millisecond
	now, nextIndex := start, 0
	var lastLength, longest time.Duration
	for nextIndex < len(sentAt) {
		length := step
		for nextIndex < len(sentAt) && !sentAt[nextIndex].After(now) {
			length += prefillTimes[nextIndex]
			nextIndex++
		}
		longest = max(longest, lastLength+length)
		lastLength = length
		now = now.Add(length)
	}
	return longest
}

// Prompts of up to 0.21 s arrive at one engine from many hosts, at half of its prefill
// capacity. Sent on arrival, some overlap, and all streams there pause for over 0.3 s between
// two events (0.5 s and more with these arrivals). With reserved prefill times no pause is that
// long.
func TestReservedPrefillsDoNotOverlap(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 7))
	var backlogs PrefillBacklogs
	var arrived, reserved []time.Time
	var prefillTimes []time.Duration
	now := start
	for range 400 {
		now = now.Add(time.Duration(random.ExpFloat64() * float64(150*time.Millisecond)))
		prefillTime := min(time.Duration(random.ExpFloat64()*float64(60*time.Millisecond)), 210*time.Millisecond)
		arrived = append(arrived, now)
		prefillTimes = append(prefillTimes, prefillTime)
		reserved = append(reserved, backlogs.Reserve(now, &Prompt{Candidates: equalCandidates(prefillTime, "e")}).SendAt)
	}
	require.Greater(t, longestPause(arrived, prefillTimes), 300*time.Millisecond)
	require.Less(t, longestPause(reserved, prefillTimes), 300*time.Millisecond)
}

// An engine is asked for more than it can prefill. No prompt is held back for longer than the
// bound: it would be late anyway, and later the longer it is held.
func TestSendDelayIsBounded(t *testing.T) {
	var backlogs PrefillBacklogs
	for range 100 {
		reservation := backlogs.Reserve(start, &Prompt{Candidates: equalCandidates(100*time.Millisecond, "e")})
		require.LessOrEqual(t, reservation.SendAt.Sub(start), maxSendDelay)
	}
	require.Equal(t, start, backlogs.Reserve(start, &Prompt{Candidates: equalCandidates(time.Second, "other")}).SendAt)
	require.Equal(t, start.Add(time.Minute), backlogs.Reserve(start.Add(time.Minute), &Prompt{Candidates: equalCandidates(time.Second, "e")}).SendAt)
}

// equalCandidates returns candidates that differ in nothing but their names.
func equalCandidates(prefillTime time.Duration, names ...ident.ServerName) []Candidate {
	var candidates []Candidate
	for _, name := range names {
		candidates = append(candidates, Candidate{
			Server:      name,
			PrefillTime: prefillTime,
		})
	}
	return candidates
}

// 76 hosts send prompts of one model to its four engines, and each host knows only what it has
// sent itself. If hosts choose, one engine may get 62 prompts in two seconds and another 10,
// and the streams of the first pause for too long. Reserve has to balance them, at four fifths
// of the capacity as well as under overload.
func TestReserveBalancesEngines(t *testing.T) {
	for _, interval := range []time.Duration{26 * time.Millisecond, 10 * time.Millisecond} {
		random := rand.New(rand.NewPCG(3, 4))
		var backlogs PrefillBacklogs
		work := make(map[ident.ServerName]time.Duration)
		var total time.Duration
		now := start
		for range 400 {
			now = now.Add(time.Duration(random.ExpFloat64() * float64(interval)))
			prefillTime := min(time.Duration(random.ExpFloat64()*float64(60*time.Millisecond)), 210*time.Millisecond)
			reservation := backlogs.Reserve(now, &Prompt{Candidates: equalCandidates(prefillTime, "a", "b", "c", "d")})
			work[reservation.Server] += prefillTime
			total += prefillTime
		}
		for name, part := range work {
			require.InDelta(t, 0.25, part.Seconds()/total.Seconds(), 0.05, "engine %s at a prompt every %s", name, interval)
		}
	}
}

// The other region's engines are 0.12 s away. A prompt is sent there only if the near engine has
// a larger backlog than that, and a reservation that is refused leaves no backlog.
func TestReserveRefusesAboveMaxCost(t *testing.T) {
	var backlogs PrefillBacklogs
	near := equalCandidates(50*time.Millisecond, "near")
	for range 3 {
		require.True(t, backlogs.Reserve(start, &Prompt{Candidates: near}).Booked)
	}
	const networkDelay = 120 * time.Millisecond
	for range 3 {
		reservation := backlogs.Reserve(start, &Prompt{
			Candidates: near,
			MaxCost:    networkDelay + near[0].PrefillTime,
		})
		require.False(t, reservation.Booked)
		require.Equal(t, 225*time.Millisecond+near[0].PrefillTime, reservation.Cost)
	}
}

// An engine is asked for more than it can do. If all of it is booked, prompts wait there until
// their callers leave, after 4 s and more, and the engine works on them for another second.
// Beyond the limit nothing is booked, and as the engine works off its backlog, as much new work
// is booked.
func TestReserveRefusesAboveMaxBacklog(t *testing.T) {
	const limit = 1500 * time.Millisecond
	var backlogs PrefillBacklogs
	prompt := &Prompt{
		Candidates: equalCandidates(100*time.Millisecond, "e"),
		MaxBacklog: limit,
	}
	countBooked := func(now time.Time) int {
		count := 0
		for range 100 {
			reservation := backlogs.Reserve(now, prompt)
			if reservation.Booked {
				count++
				continue
			}
			require.Greater(t, reservation.StartDelay, limit)
		}
		return count
	}
	require.InDelta(t, 15, countBooked(start), 1)
	require.InDelta(t, 10, countBooked(start.Add(time.Second)), 1)
}

// All hosts have to pick the same schedulers whatever the order of their host lists, in the
// engines' region if it has a host; if the first one is lost, all have to pick the same second
// one.
func TestAllHostsPickTheSameSchedulers(t *testing.T) {
	hosts := []Host{
		{Name: "a", Region: "north"},
		{Name: "b", Region: "north"},
		{Name: "c", Region: "south"},
		{Name: "d", Region: "north"},
	}
	schedulers := Schedulers(hosts, "m", "north")
	require.Len(t, schedulers, SchedulersPerGroup)
	for _, scheduler := range schedulers {
		require.Equal(t, ident.Region("north"), scheduler.Region)
	}
	reversed := []Host{hosts[3], hosts[2], hosts[1], hosts[0]}
	require.Equal(t, schedulers, Schedulers(reversed, "m", "north"))
	remaining := slices.DeleteFunc(slices.Clone(hosts), func(h Host) bool { return h.Name == schedulers[0].Name })
	require.Equal(t, schedulers[1], Schedulers(remaining, "m", "north")[0])
	require.Equal(t, ident.HostID("c"), Schedulers(hosts, "m", "south")[0].Name)
	require.NotEmpty(t, Schedulers(hosts, "m", "west"))
	require.Empty(t, Schedulers(nil, "m", "west"))
}

// One scheduler serves some hundreds of hosts, so that it counts all slots of an engine. In a
// larger fleet the models are divided among several.
func TestLargeFleetHasSeveralSchedulers(t *testing.T) {
	count := func(size int) int {
		var hosts []Host
		for i := range size {
			hosts = append(hosts, Host{
				Name:   ident.HostID("h" + strconv.Itoa(i)),
				Region: "north",
			})
		}
		schedulers := make(map[ident.HostID]bool)
		for i := range 200 {
			schedulers[Schedulers(hosts, ident.ModelName("m"+strconv.Itoa(i)), "north")[0].Name] = true
		}
		return len(schedulers)
	}
	require.Equal(t, 1, count(76))
	require.Equal(t, 1, count(370))
	require.Equal(t, 3, count(1000))
}

// Of 49 hosts of a data centre three have four times the CPU capacity of the others. They are
// picked first for duties of a few hosts; if more are needed, others are picked as well.
func TestHostsWithMostCPUCapacityArePickedFirst(t *testing.T) {
	var hosts []Host
	for i := range 49 {
		cores := 0.2
		if i%20 == 3 {
			cores = 0.8
		}
		hosts = append(hosts, Host{
			Name:        ident.HostID("h" + strconv.Itoa(i)),
			CPUCapacity: cores,
		})
	}
	for _, key := range []string{"a", "b", "c"} {
		picked := PickStrongHosts(hosts, key, 4)
		require.Len(t, picked, 4)
		for _, host := range picked[:3] {
			require.Equal(t, 0.8, host.CPUCapacity)
		}
		require.Equal(t, 0.2, picked[3].CPUCapacity)
	}
	require.Len(t, PickStrongHosts(hosts[:1], "a", 4), 1)
}
