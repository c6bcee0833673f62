package claims

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/store"

	"github.com/stretchr/testify/require"
)

// Old segments lapse and go while a newer one, most of which has lapsed as well,
// holds a key that must be kept. The repeat of that key must not be granted, here
// and on a host that replays.
func TestOnlyLapsedSegmentsGo(t *testing.T) {
	f := newFleet(t, 1, Options{
		Partitions:  1,
		SegmentSize: 150,
	})
	f.run(time.Second)
	for n := range 8 {
		c := f.newClaim(ident.IdempotencyKey(fmt.Sprint(n)), attemptOf(n))
		c.Deadline = f.now.Add(time.Second)
		if n != 5 {
			c.KeepUntil = f.now.Add(10 * time.Second)
		}
		f.claimWith(0, c)
		f.run(100 * time.Millisecond)
	}
	f.run(20 * time.Second)
	oldest := f.hosts[f.names[0]].machine.partitions[0].segmentKey(0)
	require.Contains(t, f.store.entries, oldest)
	f.claim(0, "last", "last")
	f.run(time.Second)
	require.NotContains(t, f.store.entries, oldest)
	for _, attempt := range []ident.AttemptID{"again", "after a restart"} {
		f.claim(0, "5", attempt)
		f.run(time.Minute)
		require.Equal(t, ClaimedByOther, f.verdict(attempt))
		f.start(f.hosts[f.names[0]])
	}
}

// The log is full of keys that must be kept. New claims are refused with the
// time at which the oldest lapse, running ones still finish, and no old key
// is granted again. When the oldest have lapsed, claims are granted.
func TestBoundRefusesAndForgetsNothing(t *testing.T) {
	f := newFleet(t, 1, Options{
		Partitions:  1,
		SegmentSize: 500,
		LogSize:     1500,
	})
	f.run(time.Second)
	granted := 0
	for ; f.seen[attemptOf(granted)].Verdict != Refused; granted++ {
		require.Less(t, granted, 100)
		f.claim(0, ident.IdempotencyKey(fmt.Sprint(granted)), attemptOf(granted))
		f.run(time.Second)
		if f.verdict(attemptOf(granted)) == Refused {
			break
		}
	}
	refusal := f.seen[attemptOf(granted)]
	require.Equal(t, ProofKey, refusal.Proof)
	f.finish(0, "0", attemptOf(0), "late but recorded")
	f.run(time.Second)
	require.True(t, f.noted[attemptOf(0)])
	f.claim(0, "0", "again")
	f.run(time.Second)
	require.Equal(t, Finished, f.verdict("again"))
	f.run(refusal.RetryAt.Sub(f.now) + time.Second)
	f.claim(0, "new", "a-new")
	f.run(time.Second)
	require.Equal(t, Granted, f.verdict("a-new"))
	require.LessOrEqual(t, len(f.store.entries), 1+1500/500)
}

// A host whose clock is behind takes the log for full. Another has seen the oldest
// segment lapse and has granted the key. The refusal of the repeat must not say
// that the key is free: its caller would send the boat again under a new key.
func TestRefusalAtTheBoundReadsFirst(t *testing.T) {
	f := newFleet(t, 2, Options{
		Partitions:  1,
		SegmentSize: 70,
		LogSize:     100,
	})
	f.run(time.Second)
	for _, name := range f.names {
		f.step(f.hosts[name], Homes{
			Hosts: []ident.HostID{name},
		})
	}
	f.hosts[f.names[1]].skew = 4 * time.Second
	keep := f.now.Add(10 * time.Second)
	for n := range 4 {
		c := f.newClaim(ident.IdempotencyKey(fmt.Sprint(n)), attemptOf(n))
		c.Deadline = f.now.Add(4 * time.Second)
		c.KeepUntil = keep
		f.claimWith(0, c)
		f.run(200 * time.Millisecond)
	}
	require.Equal(t, Refused, f.verdict(attemptOf(3)))
	f.run(keep.Add(DefaultClockMargin - 2*time.Second).Sub(f.now))
	f.claim(1, "boat", "a1")
	f.run(time.Second)
	require.Equal(t, Granted, f.verdict("a1"))
	f.claim(0, "boat", "a2")
	f.run(time.Minute)
	require.Equal(t, ClaimedByOther, f.verdict("a2"))
}

func attemptOf(n int) ident.AttemptID {
	return ident.AttemptID(fmt.Sprintf("att-%032x", n+1))
}

// All entry hosts are replaced at once. The new ones know nothing and replay
// head and sealed segments: finished keys give their answers again, running ones
// read "may have run", whichever page they stand in.
func TestReplayOfSealedSegments(t *testing.T) {
	f := newFleet(t, 2, Options{
		Partitions:  1,
		SegmentSize: 600,
	})
	f.run(time.Second)
	const keys = 30
	for n := range keys {
		f.claim(0, ident.IdempotencyKey(fmt.Sprint(n)), attemptOf(n))
		f.run(200 * time.Millisecond)
		if n%2 == 0 {
			f.finish(1, ident.IdempotencyKey(fmt.Sprint(n)), attemptOf(n), strings.Repeat("x", n*200))
		}
		f.run(200 * time.Millisecond)
	}
	require.Greater(t, len(f.store.entries), 3)
	for _, name := range f.names {
		f.start(f.hosts[name])
	}
	for n := range keys {
		f.claim(n%2, ident.IdempotencyKey(fmt.Sprint(n)), attemptOf(1000+n))
	}
	f.run(time.Minute)
	for n := range keys {
		a := f.seen[attemptOf(1000+n)]
		if n%2 == 1 {
			require.Equal(t, ClaimedByOther, a.Verdict, n)
			continue
		}
		require.Equal(t, Finished, a.Verdict, n)
		require.Equal(t, n*200 <= MaxBody, a.Whole, n)
	}
}

// The service is put back to a state of an hour ago. A host that knows better
// must not follow it: the key claimed since would be granted again.
func TestServicePutBackIsRefused(t *testing.T) {
	f := newFleet(t, 1, Options{})
	f.run(time.Second)
	f.claim(0, "boat", "a1")
	f.run(time.Second)
	f.store.entries = map[string]store.Entry{}
	for _, attempt := range []ident.AttemptID{"a2", "a3"} {
		f.claim(0, "boat", attempt)
		f.run(5 * time.Second)
		require.Equal(t, Refused, f.verdict(attempt))
	}
}

// A host takes a partition over whose log has lost a segment. It must not take
// the rest for the whole and grant a key that was claimed in the missing part.
func TestLogWithAMissingSegmentIsRefused(t *testing.T) {
	f := newFleet(t, 1, Options{
		Partitions:  1,
		SegmentSize: 100,
	})
	f.run(time.Second)
	for n := range 4 {
		f.claim(0, ident.IdempotencyKey(fmt.Sprint(n)), attemptOf(n))
		f.run(time.Second)
	}
	p := f.hosts[f.names[0]].machine.partitions[0]
	delete(f.store.entries, p.segmentKey(1))
	f.start(f.hosts[f.names[0]])
	f.claim(0, "1", "again")
	f.run(time.Second)
	require.Equal(t, Refused, f.verdict("again"))
	require.Equal(t, ProofAttempt, f.seen["again"].Proof)
}
