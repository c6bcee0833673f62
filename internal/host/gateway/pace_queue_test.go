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
	a, b := f.hosts["a"], f.hosts["b"]
	f.eventually(func() bool { return a.knownHosts.Load() == 2 && b.knownHosts.Load() == 2 }, "the hosts know one another")
	ctx := context.Background()
	first, leave := a.Reserve(ctx, "m", waitingPrompt(1, time.Minute))
	require.True(t, first.Booked)
	second, _ := b.Reserve(ctx, "m", waitingPrompt(2, time.Minute))
	require.False(t, second.Booked, "the place is taken")
	require.False(t, second.Full, "it may wait")
	leave()
	f.eventually(func() bool {
		slot, leave := b.Reserve(ctx, "m", waitingPrompt(3, time.Minute))
		if slot.Booked {
			leave()
		}
		return slot.Booked
	}, "the place is free")
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
