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

// engine reads all prompts that have come since its last step in the next one, as
// engines do that read prompts between the steps of running answers.
func longestPause(sent []time.Time, reading []time.Duration) time.Duration {
	const step = 11 * time.Millisecond
	now, next := start, 0
	var last, longest time.Duration
	for next < len(sent) {
		length := step
		for next < len(sent) && !sent[next].After(now) {
			length += reading[next]
			next++
		}
		longest = max(longest, last+length)
		last = length
		now = now.Add(length)
	}
	return longest
}

// Prompts of up to 0.21 s come to one engine from many hosts, at half of what it can
// read. Sent as they come, some meet, and all streams there pause for over 0.3 s
// between two events. Paced, none does. (Same arrivals: 0.5 s and more before.)
func TestPacedPromptsDontMeet(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 7))
	var clocks Clocks
	var arrived, paced []time.Time
	var readings []time.Duration
	now := start
	for range 400 {
		now = now.Add(time.Duration(random.ExpFloat64() * float64(150*time.Millisecond)))
		reading := min(time.Duration(random.ExpFloat64()*float64(60*time.Millisecond)), 210*time.Millisecond)
		arrived = append(arrived, now)
		readings = append(readings, reading)
		paced = append(paced, clocks.Reserve(now, &Prompt{Candidates: engines(reading, "e")}).At)
	}
	require.Greater(t, longestPause(arrived, readings), 300*time.Millisecond)
	require.Less(t, longestPause(paced, readings), 300*time.Millisecond)
}

// More is asked of an engine than it can read. Nobody is held back for longer than
// the bound: the requests would be late anyway, and later for each that waits.
func TestNobodyWaitsLongerThanTheBound(t *testing.T) {
	var clocks Clocks
	for range 100 {
		slot := clocks.Reserve(start, &Prompt{Candidates: engines(100*time.Millisecond, "e")})
		require.LessOrEqual(t, slot.At.Sub(start), mostWait)
	}
	require.Equal(t, start, clocks.Reserve(start, &Prompt{Candidates: engines(time.Second, "other")}).At)
	require.Equal(t, start.Add(time.Minute), clocks.Reserve(start.Add(time.Minute), &Prompt{Candidates: engines(time.Second, "e")}).At)
}

// engines are candidates that are all alike.
func engines(reading time.Duration, names ...ident.ServerName) []Candidate {
	var all []Candidate
	for _, name := range names {
		all = append(all, Candidate{
			Server:  name,
			Reading: reading,
		})
	}
	return all
}

// 76 hosts send prompts of one model to its four engines, and each host knows what it
// has sent itself. By the hosts' own choice one engine got 62 in two seconds and another
// 10, and the streams of the first paused for too long. The pacer has to even them out,
// at a load of four fifths as well as where more comes than the engines can read.
func TestThePacerEvensOutEngines(t *testing.T) {
	for _, every := range []time.Duration{26 * time.Millisecond, 10 * time.Millisecond} {
		random := rand.New(rand.NewPCG(3, 4))
		var clocks Clocks
		work := make(map[ident.ServerName]time.Duration)
		var total time.Duration
		now := start
		for range 400 {
			now = now.Add(time.Duration(random.ExpFloat64() * float64(every)))
			reading := min(time.Duration(random.ExpFloat64()*float64(60*time.Millisecond)), 210*time.Millisecond)
			slot := clocks.Reserve(now, &Prompt{Candidates: engines(reading, "a", "b", "c", "d")})
			work[slot.Server] += reading
			total += reading
		}
		for name, part := range work {
			require.InDelta(t, 0.25, part.Seconds()/total.Seconds(), 0.05, "engine %s at a prompt every %s", name, every)
		}
	}
}

// The other region's engines are 0.12 s away. Prompts go there only where the near
// one has more than that before it, and what isn't booked there leaves no trace.
func TestNothingIsBookedOverTheBound(t *testing.T) {
	var clocks Clocks
	near := engines(50*time.Millisecond, "near")
	for range 3 {
		require.True(t, clocks.Reserve(start, &Prompt{Candidates: near}).Booked)
	}
	const way = 120 * time.Millisecond
	for range 3 {
		slot := clocks.Reserve(start, &Prompt{
			Candidates: near,
			Most:       way + near[0].Reading,
		})
		require.False(t, slot.Booked)
		require.Equal(t, 225*time.Millisecond+near[0].Reading, slot.Cost)
	}
}

// More comes for an engine than it can do. What waited there waited until its callers
// left, after 4 s and more, and the engine went on with it for another second. Beyond the
// limit nothing is booked, and as much as the engine has done is taken on again.
func TestNothingIsBookedBeyondTheLimit(t *testing.T) {
	const limit = 1500 * time.Millisecond
	var clocks Clocks
	prompt := &Prompt{
		Candidates: engines(100*time.Millisecond, "e"),
		Limit:      limit,
	}
	booked := func(now time.Time) int {
		count := 0
		for range 100 {
			slot := clocks.Reserve(now, prompt)
			if slot.Booked {
				count++
				continue
			}
			require.Greater(t, slot.Ahead, limit)
		}
		return count
	}
	require.InDelta(t, 15, booked(start), 1)
	require.InDelta(t, 10, booked(start.Add(time.Second)), 1)
}

// All hosts have to find the same pacers whatever the order in which they know one
// another, in the engines' region where there is a host; where the first one is lost,
// all have to go to the same second one.
func TestAllHostsFindTheSamePacers(t *testing.T) {
	hosts := []Host{
		{Name: "a", Region: "north"},
		{Name: "b", Region: "north"},
		{Name: "c", Region: "south"},
		{Name: "d", Region: "north"},
	}
	pacers := Pacers(hosts, "m", "north")
	require.Len(t, pacers, Ranks)
	for _, pacer := range pacers {
		require.Equal(t, ident.Region("north"), pacer.Region)
	}
	reversed := []Host{hosts[3], hosts[2], hosts[1], hosts[0]}
	require.Equal(t, pacers, Pacers(reversed, "m", "north"))
	rest := slices.DeleteFunc(slices.Clone(hosts), func(h Host) bool { return h.Name == pacers[0].Name })
	require.Equal(t, pacers[1], Pacers(rest, "m", "north")[0])
	require.Equal(t, ident.HostID("c"), Pacers(hosts, "m", "south")[0].Name)
	require.NotEmpty(t, Pacers(hosts, "m", "west"))
	require.Empty(t, Pacers(nil, "m", "west"))
}

// One pacer serves some hundreds of hosts, so that it counts all places of an engine. In a
// larger fleet the models are dealt out to several.
func TestALargeFleetHasSeveralPacers(t *testing.T) {
	count := func(size int) int {
		var hosts []Host
		for i := range size {
			hosts = append(hosts, Host{
				Name:   ident.HostID("h" + strconv.Itoa(i)),
				Region: "north",
			})
		}
		pacers := make(map[ident.HostID]bool)
		for i := range 200 {
			pacers[Pacers(hosts, ident.ModelName("m"+strconv.Itoa(i)), "north")[0].Name] = true
		}
		return len(pacers)
	}
	require.Equal(t, 1, count(76))
	require.Equal(t, 1, count(370))
	require.Equal(t, 3, count(1000))
}

// Of 49 hosts of a data centre three have four times the processor of the others. They do
// what few have to do; where there are none left, others stand in.
func TestStrongHostsComeFirst(t *testing.T) {
	var hosts []Host
	for i := range 49 {
		power := 0.2
		if i%20 == 3 {
			power = 0.8
		}
		hosts = append(hosts, Host{
			Name:  ident.HostID("h" + strconv.Itoa(i)),
			Power: power,
		})
	}
	for _, key := range []string{"a", "b", "c"} {
		first := FirstStrong(hosts, key, 4)
		require.Len(t, first, 4)
		for _, host := range first[:3] {
			require.Equal(t, 0.8, host.Power)
		}
		require.Equal(t, 0.2, first[3].Power)
	}
	require.Len(t, FirstStrong(hosts[:1], "a", 4), 1)
}
