package claims

import (
	"testing"
	"time"

	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/outcome"
	"cicadaloom/internal/domain/store"

	"github.com/stretchr/testify/require"
)

func isSwap(m message) bool {
	_, swap := m.command.(SwapPartition)
	return swap
}

// once makes a fault befall the next swap only.
func (f *fleet) once(what fault) {
	f.fault = func(m message) fault {
		if !isSwap(m) {
			return noFault
		}
		f.fault = nil
		return what
	}
}

func (f *fleet) home(key ident.IdempotencyKey) int {
	m := f.hosts[f.names[0]].machine
	home := m.homeOf(m.partitionOf(keyID{
		team: team,
		key:  key,
	}))
	for i, name := range f.names {
		if name == home {
			return i
		}
	}
	return -1
}

func (f *fleet) verdict(attempt ident.AttemptID) Verdict {
	a, answered := f.seen[attempt]
	require.True(f.t, answered, "no answer to %s", attempt)
	return a.Verdict
}

// A dispatcher sends a boat. The claim is written, but the service's answer to
// the write is lost. The machine reads the head, finds its own attempt, and
// sends the boat once, instead of refusing or writing a second claim.
func TestLostAnswerIsResolvedByReading(t *testing.T) {
	f := newFleet(t, 1, Options{})
	f.run(time.Second)
	f.once(answerLost)
	f.claim(0, "boat", "a1")
	f.run(time.Second)
	require.Equal(t, Granted, f.verdict("a1"))
	require.Equal(t, 1, f.store.writes)
}

// A claim's swap is presumed lost and lands 700 ms later. The machine has written
// its claim again onto the same revision meanwhile, so the late swap must fail,
// and the boat goes out once.
func TestLateSwapFailsAgainstTheNextOne(t *testing.T) {
	f := newFleet(t, 1, Options{})
	f.run(time.Second)
	f.once(late)
	f.claim(0, "boat", "a1")
	f.run(2 * time.Second)
	require.Equal(t, Granted, f.verdict("a1"))
	require.Equal(t, 2, f.store.writes)
	require.Equal(t, ident.Revision(1), f.store.revision)
}

// A caller's deadline passes while its claim's swap is in doubt, so it reads
// "not run". The swap lands after that: the key looks claimed with nobody
// running it. The release takes it back, or goes before it, and a repeat is
// granted.
func TestClaimThatLandsAfterItsRefusalIsReleased(t *testing.T) {
	for _, lateBy := range []time.Duration{700 * time.Millisecond, 5 * time.Second} {
		f := newFleet(t, 1, Options{})
		f.run(time.Second)
		f.lateBy = lateBy
		f.fault = func(m message) fault {
			if isSwap(m) {
				return late
			}
			return down
		}
		c := f.newClaim("boat", "a1")
		c.Deadline = f.now.Add(100 * time.Millisecond)
		f.claimWith(0, c)
		f.run(300 * time.Millisecond)
		f.fault = nil
		require.Equal(t, Refused, f.verdict("a1"))
		require.Equal(t, ProofAttempt, f.seen["a1"].Proof)
		f.run(8 * time.Second)
		f.claim(0, "boat", "a2")
		f.run(time.Second)
		require.Equal(t, Granted, f.verdict("a2"))
	}
}

// A claim waits so long on its way to the home that its caller was refused and
// the claim released before it arrives. It must not block the key, for nobody
// runs it.
func TestForwardedClaimAfterItsRelease(t *testing.T) {
	f := newFleet(t, 2, Options{})
	f.run(time.Second)
	home := f.home("boat")
	c := f.newClaim("boat", "a1")
	c.Origin = f.names[1-home]
	f.step(f.hosts[f.names[home]], Release{
		Team:    team,
		Key:     "boat",
		Attempt: "a1",
		Origin:  c.Origin,
	})
	f.run(time.Second)
	f.step(f.hosts[f.names[home]], c)
	f.run(time.Second)
	f.claim(home, "boat", "a2")
	f.run(time.Second)
	require.Equal(t, Granted, f.verdict("a2"))
}

// A release is repeated by the network after another attempt was granted, and a
// finish of the old attempt comes as well. Neither may touch the new claim: the
// key would be free, or finished, under a running dispatch.
func TestOldNotesDoNotTouchANewClaim(t *testing.T) {
	f := newFleet(t, 1, Options{})
	f.run(time.Second)
	f.claim(0, "boat", "a1")
	f.run(time.Second)
	release := Release{
		Team:    team,
		Key:     "boat",
		Attempt: "a1",
		Outcome: (&outcome.Trail{}).Outcome(),
	}
	f.truth.released["a1"] = true
	f.step(f.hosts[f.names[0]], release)
	f.run(time.Second)
	f.claim(0, "boat", "a2")
	f.run(time.Second)
	f.step(f.hosts[f.names[0]], release)
	f.run(time.Second)
	f.finish(0, "boat", "a1", "not so")
	f.run(time.Second)
	require.False(t, f.noted["a1"])
	f.claim(0, "boat", "a3")
	f.run(time.Minute)
	require.Equal(t, ClaimedByOther, f.verdict("a3"))
}

// The home's swap of a forwarded claim is in doubt, and the service fails it
// before it can look. The origin looks for itself, finds its claim, and sends the
// boat. The home must leave the claim alone: a release would free the key while
// the boat is under way.
func TestHomeLeavesTheReleaseToTheOrigin(t *testing.T) {
	f := newFleet(t, 2, Options{})
	f.run(time.Second)
	home := f.home("boat")
	cutOff := f.hosts[f.names[home]]
	f.fault = func(m message) fault {
		switch {
		case m.host != cutOff || !m.toStore():
			return noFault
		case isSwap(m):
			return answerLost
		}
		return down
	}
	f.claim(1-home, "boat", "a1")
	f.run(500 * time.Millisecond)
	f.fault = nil
	require.Equal(t, Granted, f.verdict("a1"))
	f.run(10 * time.Second)
	f.claim(home, "boat", "a2")
	f.run(time.Minute)
	require.Equal(t, ClaimedByOther, f.verdict("a2"))
}

// A home is gone but still stands among the live hosts. The first caller pays
// the wait for it; those after it are served by the host that they asked.
func TestSilentHomeIsWaitedForOnce(t *testing.T) {
	f := newFleet(t, 2, Options{})
	f.run(time.Second)
	home := f.home("boat")
	f.hosts[f.names[home]].frozen = true
	f.claim(1-home, "boat", "a1")
	f.run(DefaultForwardPatience + 100*time.Millisecond)
	require.Equal(t, Granted, f.verdict("a1"))
	f.finish(1-home, "boat", "a1", "done")
	f.claim(1-home, "boat", "a2")
	f.step(f.hosts[f.names[1-home]], Stopping{})
	f.run(200 * time.Millisecond)
	require.Equal(t, Finished, f.verdict("a2"))
	require.True(t, f.hosts[f.names[1-home]].machine.Idle())
}

// A host freezes between a swap and its answer and wakes when the caller has
// gone. It must not send for nobody; the key is free for the repeat.
func TestNoGrantAfterTheDeadline(t *testing.T) {
	f := newFleet(t, 1, Options{})
	f.run(time.Second)
	c := f.newClaim("boat", "a1")
	c.Deadline = f.now.Add(time.Second)
	f.claimWith(0, c)
	f.hosts[f.names[0]].frozen = true
	f.run(2 * time.Second)
	f.thaw(f.hosts[f.names[0]])
	require.Equal(t, Refused, f.verdict("a1"))
	f.run(2 * time.Second)
	f.claim(0, "boat", "a2")
	f.run(time.Second)
	require.Equal(t, Granted, f.verdict("a2"))
}

// The home of a partition freezes with a swap in its hands. Its caller repeats
// through another host, which takes the partition over and sends the boat. The
// first host wakes: its swap and its memory are old, and it must not send.
func TestFrozenHomeWokenAfterTakeover(t *testing.T) {
	f := newFleet(t, 2, Options{})
	f.run(time.Second)
	home := f.home("boat")
	frozen := f.hosts[f.names[home]]
	f.lateBy = 25 * time.Second
	f.fault = func(m message) fault {
		if isSwap(m) && m.host == frozen {
			return late
		}
		return noFault
	}
	f.claim(home, "boat", "a1")
	frozen.frozen = true
	f.claim(1-home, "boat", "a2")
	f.run(30 * time.Second)
	require.Equal(t, Granted, f.verdict("a2"))
	f.thaw(frozen)
	f.run(30 * time.Second)
	require.Equal(t, ClaimedByOther, f.verdict("a1"))
}

// The service is down. Callers read at once that nothing was sent and when to
// come back, not a silence until their deadline; when it is back, the next claim
// is granted.
func TestOutageIsRefusedAtOnce(t *testing.T) {
	f := newFleet(t, 1, Options{})
	f.run(time.Second)
	f.fault = func(message) fault { return down }
	f.claim(0, "boat", "a1")
	f.run(10 * time.Millisecond)
	f.claim(0, "boat", "a2")
	for _, attempt := range []ident.AttemptID{"a1", "a2"} {
		require.Equal(t, Refused, f.verdict(attempt))
		require.True(t, f.seen[attempt].RetryAt.After(f.now))
	}
	f.fault = nil
	f.run(2 * time.Second)
	f.claim(0, "boat", "a3")
	f.run(time.Second)
	require.Equal(t, Granted, f.verdict("a3"))
}

// A caller uses one idempotency key for two different dispatches. The second is
// refused as such; it must neither run nor read the first one's answer.
func TestKeyReusedForOtherContent(t *testing.T) {
	f := newFleet(t, 2, Options{})
	f.run(time.Second)
	f.claim(0, "boat", "a1")
	f.run(time.Second)
	c := f.newClaim("boat", "a2")
	c.Fingerprint = 8
	f.claimWith(1, c)
	f.finish(0, "boat", "a1", "done")
	f.run(time.Second)
	c.Attempt = "a3"
	f.claimWith(0, c)
	f.run(time.Second)
	require.Equal(t, KeyReused, f.verdict("a2"))
	require.Equal(t, KeyReused, f.verdict("a3"))
}

// The backend server says that it didn't run a granted request. Its key is free
// for the next attempt, but only with that proof: a release that can't show it
// leaves the key claimed.
func TestReleaseNeedsItsProof(t *testing.T) {
	f := newFleet(t, 2, Options{})
	f.run(time.Second)
	f.claim(0, "boat", "a1")
	f.run(time.Second)
	var trail outcome.Trail
	trail.Sending("a1")
	release := Release{
		Team:    team,
		Key:     "boat",
		Attempt: "a1",
		Outcome: trail.Outcome(),
	}
	f.step(f.hosts[f.names[0]], release)
	f.run(time.Second)
	require.False(t, f.noted["a1"])
	require.Contains(t, f.noted, ident.AttemptID("a1"))
	trail.Refused("a1")
	release.Outcome = trail.Outcome()
	f.truth.released["a1"] = true
	f.step(f.hosts[f.names[0]], release)
	f.run(time.Second)
	require.True(t, f.noted["a1"])
	f.claim(1, "boat", "a2")
	f.run(time.Second)
	require.Equal(t, Granted, f.verdict("a2"))
}

// A fault of the sender gives the same attempt to the machine twice, the second
// time after its grant. The log shows the attempt's own claim, as it would to a
// host that resolves a lost answer; still the boat goes out once.
func TestSameAttemptIsGrantedOnce(t *testing.T) {
	for host := range 2 {
		f := newFleet(t, 2, Options{})
		f.truth.askedTwice = true
		f.run(time.Second)
		f.claim(host, "boat", "a1")
		f.claim(host, "boat", "a1")
		f.run(time.Second)
		f.claim(host, "boat", "a1")
		f.run(time.Second)
		require.Len(t, f.truth.grants["boat"], 1)
		require.Equal(t, ClaimedByOther, f.verdict("a1"))
	}
}

// A swap is timed out and written again; then the answer to the first one comes
// after all. It says nothing about the second: granting on it would send a boat
// whose claim another host may have overtaken.
func TestAnswerToAnOldSwapIsIgnored(t *testing.T) {
	m := New(Options{
		Partitions: 1,
	})
	f := newFleet(t, 1, Options{})
	m.Step(dayOne, f.newClaim("boat", "a1"))
	first := m.Step(dayOne, PageRead{
		Number: 1,
	})[0].(SwapPartition)
	m.Step(dayOne, failed(first, store.ErrUnknownOutcome))
	again := m.Step(dayOne, PageRead{
		Number: first.Number + 1,
	})
	require.IsType(t, SwapPartition{}, again[0])
	require.Empty(t, m.Step(dayOne, SwapAnswered{
		Number: first.Number,
		Result: store.SwapResult{
			Swapped:  true,
			Revision: 1,
		},
	}))
}

// Two hosts each take themselves for the home, as after a freeze or a cut. The
// first sends a boat; its caller repeats through the second, which waits for
// the finish. The first writes it, and nobody tells the second: it must find
// the finish in the log, and not let its caller wait half of its deadline.
func TestFinishWrittenByAnotherHomeIsFound(t *testing.T) {
	f := newFleet(t, 2, Options{})
	f.run(time.Second)
	for _, name := range f.names {
		f.step(f.hosts[name], Homes{
			Hosts: []ident.HostID{name},
		})
	}
	f.claim(0, "boat", "a1")
	f.run(time.Second)
	require.Equal(t, Granted, f.verdict("a1"))
	f.claim(1, "boat", "a2")
	f.run(time.Second)
	f.finish(0, "boat", "a1", "boat 7 is out")
	f.run(time.Second)
	require.Equal(t, Finished, f.verdict("a2"))
}
