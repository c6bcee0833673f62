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
	_, swaps := m.command.(SwapPartition)
	return swaps
}

// faultNextSwap injects a fault into the next swap, and only that one.
func (f *fleet) faultNextSwap(kind faultKind) {
	f.chooseFault = func(m message) faultKind {
		if !isSwap(m) {
			return noFault
		}
		f.chooseFault = nil
		return kind
	}
}

// ownerIndex returns the index of the host that owns a key's partition.
func (f *fleet) ownerIndex(key ident.IdempotencyKey) int {
	m := f.hosts[f.names[0]].machine
	owner := m.ownerOf(m.partitionFor(keyID{
		team: testTeam,
		key:  key,
	}))
	for i, name := range f.names {
		if name == owner {
			return i
		}
	}
	return -1
}

func (f *fleet) verdict(attempt ident.AttemptID) Verdict {
	a, answered := f.answers[attempt]
	require.True(f.t, answered, "no answer to %s", attempt)
	return a.Verdict
}

// The claim is written, but the store's answer to the swap is lost. The machine must
// read the head, find its own attempt and grant it once, instead of refusing or
// writing a second claim.
func TestLostSwapAnswerIsResolvedByReading(t *testing.T) {
	f := newFleet(t, 1, Options{})
	f.runFor(time.Second)
	f.faultNextSwap(answerLost)
	f.claim(0, "boat", "a1")
	f.runFor(time.Second)
	require.Equal(t, Granted, f.verdict("a1"))
	require.Equal(t, 1, f.store.writes)
}

// A claim's swap gets no answer and takes effect only 700 ms later. Meanwhile the
// machine has written the claim again at the same revision, so the late swap must
// fail, and the claim is granted once.
func TestLateSwapFailsAfterRetry(t *testing.T) {
	f := newFleet(t, 1, Options{})
	f.runFor(time.Second)
	f.faultNextSwap(appliedLate)
	f.claim(0, "boat", "a1")
	f.runFor(2 * time.Second)
	require.Equal(t, Granted, f.verdict("a1"))
	require.Equal(t, 2, f.store.writes)
	require.Equal(t, ident.Revision(1), f.store.revision)
}

// A claim's deadline passes while the outcome of its swap is unknown, so its caller
// gets "not run". The swap takes effect after that: the key is claimed by an
// attempt that nobody runs. The release must undo the claim, or be written before it,
// so that a repeat is granted.
func TestLateClaimOfRefusedAttemptIsReleased(t *testing.T) {
	for _, lateDelay := range []time.Duration{700 * time.Millisecond, 5 * time.Second} {
		f := newFleet(t, 1, Options{})
		f.runFor(time.Second)
		f.lateDelay = lateDelay
		f.chooseFault = func(m message) faultKind {
			if isSwap(m) {
				return appliedLate
			}
			return unavailable
		}
		c := f.newClaim("boat", "a1")
		c.Deadline = f.now.Add(100 * time.Millisecond)
		f.submitClaim(0, c)
		f.runFor(300 * time.Millisecond)
		f.chooseFault = nil
		require.Equal(t, Refused, f.verdict("a1"))
		require.Equal(t, ProofAttemptNotRun, f.answers["a1"].Proof)
		f.runFor(8 * time.Second)
		f.claim(0, "boat", "a2")
		f.runFor(time.Second)
		require.Equal(t, Granted, f.verdict("a2"))
	}
}

// A claim is in flight to the partition owner for so long that its caller has been
// refused and the claim released before it arrives. It must not block the key, since
// nobody runs it.
func TestForwardedClaimAfterItsReleaseLeavesKeyFree(t *testing.T) {
	f := newFleet(t, 2, Options{})
	f.runFor(time.Second)
	owner := f.ownerIndex("boat")
	c := f.newClaim("boat", "a1")
	c.Origin = f.names[1-owner]
	f.step(f.hosts[f.names[owner]], Release{
		Team:    testTeam,
		Key:     "boat",
		Attempt: "a1",
		Origin:  c.Origin,
	})
	f.runFor(time.Second)
	f.step(f.hosts[f.names[owner]], c)
	f.runFor(time.Second)
	f.claim(owner, "boat", "a2")
	f.runFor(time.Second)
	require.Equal(t, Granted, f.verdict("a2"))
}

// After another attempt was granted, the release of the earlier attempt arrives a
// second time, and a finish of it as well. Neither may change the new claim: the key
// would be free, or finished, while the request runs.
func TestOldReleaseAndFinishLeaveNewClaimUnchanged(t *testing.T) {
	f := newFleet(t, 1, Options{})
	f.runFor(time.Second)
	f.claim(0, "boat", "a1")
	f.runFor(time.Second)
	release := Release{
		Team:    testTeam,
		Key:     "boat",
		Attempt: "a1",
		Outcome: (&outcome.AttemptHistory{}).Outcome(),
	}
	f.checker.released["a1"] = true
	f.step(f.hosts[f.names[0]], release)
	f.runFor(time.Second)
	f.claim(0, "boat", "a2")
	f.runFor(time.Second)
	f.step(f.hosts[f.names[0]], release)
	f.runFor(time.Second)
	f.finish(0, "boat", "a1", "not so")
	f.runFor(time.Second)
	require.False(t, f.recorded["a1"])
	f.claim(0, "boat", "a3")
	f.runFor(time.Minute)
	require.Equal(t, ClaimedByOther, f.verdict("a3"))
}

// The owner's swap of a forwarded claim has an unknown outcome, and the store fails
// before the owner can read. The origin reads the log itself, finds its claim and
// grants it. The owner must not release the claim: the key would be free while the
// request runs.
func TestOwnerLeavesReleaseToOrigin(t *testing.T) {
	f := newFleet(t, 2, Options{})
	f.runFor(time.Second)
	owner := f.ownerIndex("boat")
	cutOff := f.hosts[f.names[owner]]
	f.chooseFault = func(m message) faultKind {
		switch {
		case m.host != cutOff || !m.isStoreCall():
			return noFault
		case isSwap(m):
			return answerLost
		}
		return unavailable
	}
	f.claim(1-owner, "boat", "a1")
	f.runFor(500 * time.Millisecond)
	f.chooseFault = nil
	require.Equal(t, Granted, f.verdict("a1"))
	f.runFor(10 * time.Second)
	f.claim(owner, "boat", "a2")
	f.runFor(time.Minute)
	require.Equal(t, ClaimedByOther, f.verdict("a2"))
}

// An owner is gone but still listed as live. The first claim waits for its answer;
// later ones are processed at once by the host where they were submitted.
func TestUnresponsiveOwnerDelaysOnlyFirstClaim(t *testing.T) {
	f := newFleet(t, 2, Options{})
	f.runFor(time.Second)
	owner := f.ownerIndex("boat")
	f.hosts[f.names[owner]].isFrozen = true
	f.claim(1-owner, "boat", "a1")
	f.runFor(DefaultForwardTimeout + 100*time.Millisecond)
	require.Equal(t, Granted, f.verdict("a1"))
	f.finish(1-owner, "boat", "a1", "done")
	f.claim(1-owner, "boat", "a2")
	f.step(f.hosts[f.names[1-owner]], Stopping{})
	f.runFor(200 * time.Millisecond)
	require.Equal(t, Finished, f.verdict("a2"))
	require.True(t, f.hosts[f.names[1-owner]].machine.Idle())
}

// A host freezes between a swap and its answer and continues after the caller's
// deadline. It must not grant the claim, and the key must be free for a repeat.
func TestNoGrantAfterDeadline(t *testing.T) {
	f := newFleet(t, 1, Options{})
	f.runFor(time.Second)
	c := f.newClaim("boat", "a1")
	c.Deadline = f.now.Add(time.Second)
	f.submitClaim(0, c)
	f.hosts[f.names[0]].isFrozen = true
	f.runFor(2 * time.Second)
	f.unfreeze(f.hosts[f.names[0]])
	require.Equal(t, Refused, f.verdict("a1"))
	f.runFor(2 * time.Second)
	f.claim(0, "boat", "a2")
	f.runFor(time.Second)
	require.Equal(t, Granted, f.verdict("a2"))
}

// An owner freezes with a swap in flight. Its caller repeats the request through
// another host, which writes the claim itself and grants it. When the first host
// continues, its swap and its state are out of date, and it must not grant its own
// claim.
func TestFrozenOwnerDoesNotGrantAfterTakeover(t *testing.T) {
	f := newFleet(t, 2, Options{})
	f.runFor(time.Second)
	owner := f.ownerIndex("boat")
	frozen := f.hosts[f.names[owner]]
	f.lateDelay = 25 * time.Second
	f.chooseFault = func(m message) faultKind {
		if isSwap(m) && m.host == frozen {
			return appliedLate
		}
		return noFault
	}
	f.claim(owner, "boat", "a1")
	frozen.isFrozen = true
	f.claim(1-owner, "boat", "a2")
	f.runFor(30 * time.Second)
	require.Equal(t, Granted, f.verdict("a2"))
	f.unfreeze(frozen)
	f.runFor(30 * time.Second)
	require.Equal(t, ClaimedByOther, f.verdict("a1"))
}

// While the key-value service is down, callers must be answered at once that nothing
// was sent and when to retry, not wait until their deadline. When it is up again, the
// next claim is granted.
func TestClaimsAreRefusedAtOnceDuringOutage(t *testing.T) {
	f := newFleet(t, 1, Options{})
	f.runFor(time.Second)
	f.chooseFault = func(message) faultKind { return unavailable }
	f.claim(0, "boat", "a1")
	f.runFor(10 * time.Millisecond)
	f.claim(0, "boat", "a2")
	for _, attempt := range []ident.AttemptID{"a1", "a2"} {
		require.Equal(t, Refused, f.verdict(attempt))
		require.True(t, f.answers[attempt].RetryAt.After(f.now))
	}
	f.chooseFault = nil
	f.runFor(2 * time.Second)
	f.claim(0, "boat", "a3")
	f.runFor(time.Second)
	require.Equal(t, Granted, f.verdict("a3"))
}

// A caller uses one idempotency key for two different requests. The second must be
// refused with KeyReused: it must neither run nor get the answer to the first.
func TestKeyReusedForOtherContentIsRefused(t *testing.T) {
	f := newFleet(t, 2, Options{})
	f.runFor(time.Second)
	f.claim(0, "boat", "a1")
	f.runFor(time.Second)
	c := f.newClaim("boat", "a2")
	c.Fingerprint = 8
	f.submitClaim(1, c)
	f.finish(0, "boat", "a1", "done")
	f.runFor(time.Second)
	c.Attempt = "a3"
	f.submitClaim(0, c)
	f.runFor(time.Second)
	require.Equal(t, KeyReused, f.verdict("a2"))
	require.Equal(t, KeyReused, f.verdict("a3"))
}

// The backend server refused a granted request without running it. The release frees
// the key for the next attempt, but only with proof of this: a release without proof
// must leave the key claimed.
func TestReleaseNeedsProofOfNotRun(t *testing.T) {
	f := newFleet(t, 2, Options{})
	f.runFor(time.Second)
	f.claim(0, "boat", "a1")
	f.runFor(time.Second)
	var attemptHistory outcome.AttemptHistory
	attemptHistory.RecordSend("a1")
	release := Release{
		Team:    testTeam,
		Key:     "boat",
		Attempt: "a1",
		Outcome: attemptHistory.Outcome(),
	}
	f.step(f.hosts[f.names[0]], release)
	f.runFor(time.Second)
	require.False(t, f.recorded["a1"])
	require.Contains(t, f.recorded, ident.AttemptID("a1"))
	attemptHistory.RecordRefusal("a1")
	release.Outcome = attemptHistory.Outcome()
	f.checker.released["a1"] = true
	f.step(f.hosts[f.names[0]], release)
	f.runFor(time.Second)
	require.True(t, f.recorded["a1"])
	f.claim(1, "boat", "a2")
	f.runFor(time.Second)
	require.Equal(t, Granted, f.verdict("a2"))
}

// The sender submits the same attempt twice, the second time after its grant. The log
// shows the attempt's own claim, as after a lost answer; still it must be granted
// only once.
func TestSameAttemptIsGrantedOnce(t *testing.T) {
	for host := range 2 {
		f := newFleet(t, 2, Options{})
		f.checker.allowsRepeatedAttempts = true
		f.runFor(time.Second)
		f.claim(host, "boat", "a1")
		f.claim(host, "boat", "a1")
		f.runFor(time.Second)
		f.claim(host, "boat", "a1")
		f.runFor(time.Second)
		require.Len(t, f.checker.grantsByKey["boat"], 1)
		require.Equal(t, ClaimedByOther, f.verdict("a1"))
	}
}

// A swap times out and is made again; then the answer to the first swap arrives. It
// says nothing about the second: a grant on it could be for a claim that lost the key
// to another host.
func TestAnswerToEarlierSwapIsIgnored(t *testing.T) {
	m := New(Options{
		Partitions: 1,
	})
	f := newFleet(t, 1, Options{})
	m.Step(startTime, f.newClaim("boat", "a1"))
	first := m.Step(startTime, PageRead{
		CallID: 1,
	})[0].(SwapPartition)
	m.Step(startTime, failureEvent(first, store.ErrUnknownOutcome))
	again := m.Step(startTime, PageRead{
		CallID: first.CallID + 1,
	})
	require.IsType(t, SwapPartition{}, again[0])
	require.Empty(t, m.Step(startTime, SwapAnswered{
		CallID: first.CallID,
		Result: store.SwapResult{
			Swapped:  true,
			Revision: 1,
		},
	}))
}

// Two hosts each believe that they own the partition, as after a freeze or a network
// partition. The first grants an attempt; a repeat through the second waits for the
// finish. The first writes the finish without a message to the second, which must
// find it in the log before its caller has waited for half of the time to its
// deadline.
func TestFinishWrittenByAnotherHostIsFound(t *testing.T) {
	f := newFleet(t, 2, Options{})
	f.runFor(time.Second)
	for _, name := range f.names {
		f.step(f.hosts[name], LiveHosts{
			Hosts: []ident.HostID{name},
		})
	}
	f.claim(0, "boat", "a1")
	f.runFor(time.Second)
	require.Equal(t, Granted, f.verdict("a1"))
	f.claim(1, "boat", "a2")
	f.runFor(time.Second)
	f.finish(0, "boat", "a1", "boat 7 is out")
	f.runFor(time.Second)
	require.Equal(t, Finished, f.verdict("a2"))
}
