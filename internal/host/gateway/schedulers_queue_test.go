package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadaloom/internal/control/pacing"
)

// waitingPrompt is a prompt for an engine with one slot, with the given queue timeout.
func waitingPrompt(ticket pacing.Ticket, timeout time.Duration) *pacing.Prompt {
	return &pacing.Prompt{
		Candidates: []pacing.Candidate{{
			Server:      "e",
			Region:      "north",
			PrefillTime: time.Millisecond,
			Slots:       1,
		}},
		Ticket:    ticket,
		Objective: time.Now().Add(timeout),
		AbandonAt: time.Now().Add(timeout),
	}
}

// Two hosts send prompts to one engine with one slot. A second prompt that is sent while
// the slot is taken would wait at the engine. It has to wait at the prompt scheduler, on
// either host, and gets the slot as soon as the first host releases it.
func TestHostsShareSlotsOfEngine(t *testing.T) {
	f := newFleet(t)
	f.keyValue.write("configuration", engineConfiguration())
	f.start("a")
	f.start("b")
	scheduler, other := f.schedulerAndOther()
	ctx := context.Background()
	first, release := scheduler.Reserve(ctx, "m", waitingPrompt(1, time.Minute))
	require.True(t, first.Booked)
	f.eventually(func() bool {
		reservation, release := other.Reserve(ctx, "m", waitingPrompt(2, time.Minute))
		if reservation.Booked {
			release() // the scheduler did not answer in time, and the host reserves locally for a while
		}
		return !reservation.Booked && !reservation.QueueFull
	}, "the slot is taken, and the prompt may wait")
	release()
	f.eventually(func() bool {
		reservation, release := other.Reserve(ctx, "m", waitingPrompt(3, time.Minute))
		if reservation.Booked {
			release()
		}
		return reservation.Booked
	}, "the slot is free")
}

// schedulerAndOther returns the host that both hosts choose as the scheduler, and the other
// one.
func (f *fleet) schedulerAndOther() (*Gateway, *Gateway) {
	a, b := f.hosts["a"], f.hosts["b"]
	var scheduler pacing.Host
	f.eventually(func() bool {
		byA, knownToA := a.schedulers.find(time.Now(), "m", "north")
		byB, knownToB := b.schedulers.find(time.Now(), "m", "north")
		scheduler = byA
		return knownToA && knownToB && byA.Name == byB.Name && len(a.schedulers.candidateHosts()) == 2 && len(b.schedulers.candidateHosts()) == 2
	}, "the hosts know one another")
	if scheduler.Name == "a" {
		return a, b
	}
	return b, a
}

// candidateHosts returns the hosts that may be schedulers.
func (s *promptSchedulers) candidateHosts() []pacing.Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hosts
}

// A caller disconnects while its prompt waits. The slot that is released later must go to
// others.
func TestCancelledPromptGetsNoSlot(t *testing.T) {
	f := newFleet(t)
	f.keyValue.write("configuration", engineConfiguration())
	f.start("a")
	a := f.hosts["a"]
	_, release := a.Reserve(context.Background(), "m", waitingPrompt(1, time.Minute))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	reservation, _ := a.Reserve(ctx, "m", waitingPrompt(2, time.Minute))
	require.False(t, reservation.Booked)
	release()
	reservation, release = a.Reserve(context.Background(), "m", waitingPrompt(3, time.Minute))
	require.True(t, reservation.Booked)
	release()
}

// The last answer of a request ends after the host has stopped. The release of its slot has
// no effect then; a panic would break that caller's connection.
func TestReleaseAfterStopDoesNotPanic(t *testing.T) {
	f := newFleet(t)
	f.keyValue.write("configuration", engineConfiguration())
	f.start("a")
	a := f.hosts["a"]
	f.stop("a")
	require.NotPanics(t, func() { a.releaseRemote(pacing.Host{Address: "127.0.0.1:1"}, "e", 1) })
}
