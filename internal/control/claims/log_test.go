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

// Old segments expire and are deleted, while a newer one, most of which has expired
// as well, has a key that must be kept. A repeat with that key must not be granted,
// neither by this host nor after a restart that replays the log.
func TestOnlyExpiredSegmentsAreDeleted(t *testing.T) {
	f := newFleet(t, 1, Options{
		Partitions:  1,
		SegmentSize: 150,
	})
	f.runFor(time.Second)
	for n := range 8 {
		c := f.newClaim(ident.IdempotencyKey(fmt.Sprint(n)), newAttemptID(n))
		c.Deadline = f.now.Add(time.Second)
		if n != 5 {
			c.KeepUntil = f.now.Add(10 * time.Second)
		}
		f.submitClaim(0, c)
		f.runFor(100 * time.Millisecond)
	}
	f.runFor(20 * time.Second)
	oldest := f.hosts[f.names[0]].machine.partitions[0].segmentKey(0)
	require.Contains(t, f.store.entries, oldest)
	f.claim(0, "last", "last")
	f.runFor(time.Second)
	require.NotContains(t, f.store.entries, oldest)
	for _, attempt := range []ident.AttemptID{"again", "after a restart"} {
		f.claim(0, "5", attempt)
		f.runFor(time.Minute)
		require.Equal(t, ClaimedByOther, f.verdict(attempt))
		f.startHost(f.hosts[f.names[0]])
	}
}

// The log is full of keys that must be kept. New claims must be refused with the time
// at which the oldest expire, running attempts must still finish, and no old key may
// be granted again. When the oldest have expired, claims are granted.
func TestFullLogRefusesClaimsAndKeepsRecords(t *testing.T) {
	f := newFleet(t, 1, Options{
		Partitions:    1,
		SegmentSize:   500,
		MaxSealedSize: 1500,
	})
	f.runFor(time.Second)
	grantCount := 0
	for ; f.answers[newAttemptID(grantCount)].Verdict != Refused; grantCount++ {
		require.Less(t, grantCount, 100)
		f.claim(0, ident.IdempotencyKey(fmt.Sprint(grantCount)), newAttemptID(grantCount))
		f.runFor(time.Second)
		if f.verdict(newAttemptID(grantCount)) == Refused {
			break
		}
	}
	refusal := f.answers[newAttemptID(grantCount)]
	require.Equal(t, ProofKeyFree, refusal.Proof)
	f.finish(0, "0", newAttemptID(0), "late but recorded")
	f.runFor(time.Second)
	require.True(t, f.recorded[newAttemptID(0)])
	f.claim(0, "0", "again")
	f.runFor(time.Second)
	require.Equal(t, Finished, f.verdict("again"))
	f.runFor(refusal.RetryAt.Sub(f.now) + time.Second)
	f.claim(0, "new", "a-new")
	f.runFor(time.Second)
	require.Equal(t, Granted, f.verdict("a-new"))
	require.LessOrEqual(t, len(f.store.entries), 1+1500/500)
}

// To a host whose clock is behind the log is full. Another host has seen the oldest
// segment expire and has granted the key. The refusal of the repeat at the first host
// must not say that the key is free: its caller would send the request again under a
// new key.
func TestFullLogRefusalReadsLogFirst(t *testing.T) {
	f := newFleet(t, 2, Options{
		Partitions:    1,
		SegmentSize:   70,
		MaxSealedSize: 100,
	})
	f.runFor(time.Second)
	for _, name := range f.names {
		f.step(f.hosts[name], LiveHosts{
			Hosts: []ident.HostID{name},
		})
	}
	f.hosts[f.names[1]].clockSkew = 4 * time.Second
	keepUntil := f.now.Add(10 * time.Second)
	for n := range 4 {
		c := f.newClaim(ident.IdempotencyKey(fmt.Sprint(n)), newAttemptID(n))
		c.Deadline = f.now.Add(4 * time.Second)
		c.KeepUntil = keepUntil
		f.submitClaim(0, c)
		f.runFor(200 * time.Millisecond)
	}
	require.Equal(t, Refused, f.verdict(newAttemptID(3)))
	f.runFor(keepUntil.Add(DefaultClockMargin - 2*time.Second).Sub(f.now))
	f.claim(1, "boat", "a1")
	f.runFor(time.Second)
	require.Equal(t, Granted, f.verdict("a1"))
	f.claim(0, "boat", "a2")
	f.runFor(time.Minute)
	require.Equal(t, ClaimedByOther, f.verdict("a2"))
}

func newAttemptID(n int) ident.AttemptID {
	return ident.AttemptID(fmt.Sprintf("att-%032x", n+1))
}

// All entry hosts restart at once and replay the head and the sealed segments:
// finished keys must return their answers again, running ones ClaimedByOther,
// whichever page they are in.
func TestReplayOfSealedSegments(t *testing.T) {
	f := newFleet(t, 2, Options{
		Partitions:  1,
		SegmentSize: 600,
	})
	f.runFor(time.Second)
	const keyCount = 30
	for n := range keyCount {
		f.claim(0, ident.IdempotencyKey(fmt.Sprint(n)), newAttemptID(n))
		f.runFor(200 * time.Millisecond)
		if n%2 == 0 {
			f.finish(1, ident.IdempotencyKey(fmt.Sprint(n)), newAttemptID(n), strings.Repeat("x", n*200))
		}
		f.runFor(200 * time.Millisecond)
	}
	require.Greater(t, len(f.store.entries), 3)
	for _, name := range f.names {
		f.startHost(f.hosts[name])
	}
	for n := range keyCount {
		f.claim(n%2, ident.IdempotencyKey(fmt.Sprint(n)), newAttemptID(1000+n))
	}
	f.runFor(time.Minute)
	for n := range keyCount {
		a := f.answers[newAttemptID(1000+n)]
		if n%2 == 1 {
			require.Equal(t, ClaimedByOther, a.Verdict, n)
			continue
		}
		require.Equal(t, Finished, a.Verdict, n)
		require.Equal(t, n*200 <= MaxBodySize, a.BodyKept, n)
	}
}

// The key-value service is restored to an older state, here an empty one. A host that
// has read a newer state must refuse claims: a key claimed since would be granted
// again.
func TestRestoredOlderServiceStateIsRefused(t *testing.T) {
	f := newFleet(t, 1, Options{})
	f.runFor(time.Second)
	f.claim(0, "boat", "a1")
	f.runFor(time.Second)
	f.store.entries = map[string]store.Entry{}
	for _, attempt := range []ident.AttemptID{"a2", "a3"} {
		f.claim(0, "boat", attempt)
		f.runFor(5 * time.Second)
		require.Equal(t, Refused, f.verdict(attempt))
	}
}

// A host loads a partition whose log has lost a segment. It must not use the rest as
// if it were the whole log and grant a key that was claimed in the missing segment.
func TestLogWithMissingSegmentIsRefused(t *testing.T) {
	f := newFleet(t, 1, Options{
		Partitions:  1,
		SegmentSize: 100,
	})
	f.runFor(time.Second)
	for n := range 4 {
		f.claim(0, ident.IdempotencyKey(fmt.Sprint(n)), newAttemptID(n))
		f.runFor(time.Second)
	}
	p := f.hosts[f.names[0]].machine.partitions[0]
	delete(f.store.entries, p.segmentKey(1))
	f.startHost(f.hosts[f.names[0]])
	f.claim(0, "1", "again")
	f.runFor(time.Second)
	require.Equal(t, Refused, f.verdict("again"))
	require.Equal(t, ProofAttemptNotRun, f.answers["again"].Proof)
}
