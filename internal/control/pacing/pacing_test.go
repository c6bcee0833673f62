package pacing

import (
	"math/rand/v2"
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
		paced = append(paced, clocks.Reserve(now, "e", reading))
	}
	require.Greater(t, longestPause(arrived, readings), 300*time.Millisecond)
	require.Less(t, longestPause(paced, readings), 300*time.Millisecond)
}

// More is asked of an engine than it can read. Nobody is held back for longer than
// the bound: the requests would be late anyway, and later for each that waits.
func TestNobodyWaitsLongerThanTheBound(t *testing.T) {
	var clocks Clocks
	for range 100 {
		at := clocks.Reserve(start, "e", 100*time.Millisecond)
		require.LessOrEqual(t, at.Sub(start), mostWait)
	}
	require.Equal(t, start, clocks.Reserve(start, "other", time.Second))
	require.Equal(t, start.Add(time.Minute), clocks.Reserve(start.Add(time.Minute), "e", time.Second))
}

// All hosts have to find the same pacer whatever the order in which they know one
// another, in the engine's region where there is a host; and a host that goes takes
// only its own engines with it.
func TestAllHostsFindTheSamePacer(t *testing.T) {
	hosts := []Host{
		{Name: "a", Region: "north"},
		{Name: "b", Region: "north"},
		{Name: "c", Region: "south"},
		{Name: "d", Region: "north"},
	}
	moved := 0
	for i := range 200 {
		server := ident.ServerName("e" + string(rune('0'+i)))
		pacer := Pacer(hosts, server, "north")
		require.Equal(t, ident.Region("north"), pacer.Region)
		reversed := []Host{hosts[3], hosts[2], hosts[1], hosts[0]}
		require.Equal(t, pacer, Pacer(reversed, server, "north"))
		if without := Pacer(hosts[1:], server, "north"); without != pacer {
			require.Equal(t, ident.HostID("a"), pacer.Name)
			moved++
		}
		require.Equal(t, ident.HostID("c"), Pacer(hosts, server, "south").Name)
	}
	require.InDelta(t, 67, moved, 30)
	require.NotEmpty(t, Pacer(hosts, "e", "west").Name)
	require.Empty(t, Pacer(nil, "e", "west").Name)
}
