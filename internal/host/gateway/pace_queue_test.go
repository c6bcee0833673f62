package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadaloom/internal/control/pacing"
)

// waitingPrompt is one for an engine with one place, whose caller waits for so long.
func waitingPrompt(ticket pacing.Ticket, patience time.Duration) *pacing.Prompt {
	return &pacing.Prompt{
		Candidates: []pacing.Candidate{{
			Server:  "e",
			Region:  "north",
			Reading: time.Millisecond,
			Places:  1,
		}},
		Ticket:    ticket,
		Objective: time.Now().Add(patience),
		GiveUp:    time.Now().Add(patience),
	}
}

// Two hosts send to one engine. The second sent on while the first one's answer had its
// only place, and both waited there. It has to wait at the pacer, whichever host that is,
// and gets the place as soon as the first host says that it has its answer.
func TestHostsShareThePlacesOfAnEngine(t *testing.T) {
	f := newFleet(t)
	f.keyValue.write("configuration", engineConfiguration())
	f.start("a")
	f.start("b")
	pacer, other := f.pacerAndOther()
	ctx := context.Background()
	first, leave := pacer.Reserve(ctx, "m", waitingPrompt(1, time.Minute))
	require.True(t, first.Booked)
	f.eventually(func() bool {
		slot, leave := other.Reserve(ctx, "m", waitingPrompt(2, time.Minute))
		if slot.Booked {
			leave() // the pacer did not answer in time: the host goes by itself for a while
		}
		return !slot.Booked && !slot.Full
	}, "the place is taken, and the other may wait")
	leave()
	f.eventually(func() bool {
		slot, leave := other.Reserve(ctx, "m", waitingPrompt(3, time.Minute))
		if slot.Booked {
			leave()
		}
		return slot.Booked
	}, "the place is free")
}

// pacerAndOther gives the host of two that both take for the pacer, and the other one.
func (f *fleet) pacerAndOther() (*Gateway, *Gateway) {
	a, b := f.hosts["a"], f.hosts["b"]
	var pacer pacing.Host
	f.eventually(func() bool {
		byA, knownToA := a.pacers.of(time.Now(), "m", "north")
		byB, knownToB := b.pacers.of(time.Now(), "m", "north")
		pacer = byA
		return knownToA && knownToB && byA.Name == byB.Name && len(a.pacers.known()) == 2 && len(b.pacers.known()) == 2
	}, "the hosts know one another")
	if pacer.Name == "a" {
		return a, b
	}
	return b, a
}

// known gives the hosts that may be pacers.
func (p *pacers) known() []pacing.Host {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.hosts
}

// A caller leaves while its prompt waits. The place that comes free later is for others.
func TestACallerThatLeavesTakesNoPlace(t *testing.T) {
	f := newFleet(t)
	f.keyValue.write("configuration", engineConfiguration())
	f.start("a")
	a := f.hosts["a"]
	_, leave := a.Reserve(context.Background(), "m", waitingPrompt(1, time.Minute))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	slot, _ := a.Reserve(ctx, "m", waitingPrompt(2, time.Minute))
	require.False(t, slot.Booked)
	leave()
	slot, leave = a.Reserve(context.Background(), "m", waitingPrompt(3, time.Minute))
	require.True(t, slot.Booked)
	leave()
}

// A host has stopped, and the last answer of a request ends after all else: its place is
// given back to nobody, where a panic would end that connection without a word.
func TestAPlaceIsLeftAfterTheHostsEnd(t *testing.T) {
	f := newFleet(t)
	f.keyValue.write("configuration", engineConfiguration())
	f.start("a")
	a := f.hosts["a"]
	f.stop("a")
	require.NotPanics(t, func() { a.leavePlace(pacing.Host{Address: "127.0.0.1:1"}, "e", 1) })
}
