package suspects

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadaloom/internal/domain/ident"
)

// Ids of parts.
const (
	common   = 1
	crashing = 2
	other    = 3
)

func newPart(build ident.Build, id uint64) Part {
	return Part{
		Service: "desk",
		Build:   build,
		ID:      id,
	}
}

func newParts(build ident.Build, ids ...uint64) []Part {
	var parts []Part
	for _, id := range ids {
		parts = append(parts, newPart(build, id))
	}
	return parts
}

// crash reports the crash of a server under a prompt with some parts.
func crash(machine *Machine, now time.Time, server string, build ident.Build, ids ...uint64) {
	lost := LostAttempt{
		WasAnswered: true,
		ServerIncarnation: ServerIncarnation{
			Server: ident.ServerName(server),
		},
		Parts: newParts(build, ids...),
	}
	for _, event := range lost.Crashes() {
		machine.Step(now, event)
	}
}

func exchange(now time.Time, machines ...*Machine) {
	for _, to := range machines {
		for _, from := range machines {
			to.Step(now, Received{
				Suspects: from.MostUrgent(32),
			})
		}
	}
}

// Guards against a part that crashes servers for ever because no host sees more than one crash.
func TestPartIsRefusedThoughEachCrashIsOfAnotherHost(t *testing.T) {
	machines := []*Machine{{}, {}, {}}
	for i, machine := range machines {
		crash(machine, start, fmt.Sprint("gpu-", i), "v1", common+10+uint64(i), crashing)
	}
	exchange(start, machines...)
	for _, machine := range machines {
		require.Equal(t, Refuse, machine.View().PartsVerdict(newParts("v1", 99, crashing)))
		require.Equal(t, ServeAlone, machine.View().PartsVerdict(newParts("v1", common+10)))
		require.Equal(t, Serve, machine.View().PartsVerdict(newParts("v1", 99)))
	}
}

// Guards against refusing all requests that have the same first part as those that crash servers.
func TestPartThatCameWithCrashingOneIsServedAlone(t *testing.T) {
	var machine Machine
	for i := range 3 {
		crash(&machine, start, fmt.Sprint("gpu-", i), "v1", common, crashing)
	}
	require.Equal(t, Refuse, machine.View().PartsVerdict(newParts("v1", common, crashing)))
	require.Equal(t, ServeAlone, machine.View().PartsVerdict(newParts("v1", common, other)))

	crash(&machine, start, "gpu-4", "v1", other, crashing)
	require.Equal(t, Refuse, machine.View().PartsVerdict(newParts("v1", other, crashing)))
	require.Equal(t, Refuse, machine.View().PartsVerdict(newParts("v1", crashing)))
	require.Equal(t, ServeAlone, machine.View().PartsVerdict(newParts("v1", common, other)))
}

// Guards against a part that is refused or suspected for ever, on any host, though servers answer to
// it.
func TestAnswerBegunClearsPartOnAllHosts(t *testing.T) {
	var here, peer, third Machine
	peer.Harmless = &Answered{}
	for i := range 3 {
		crash(&here, start, fmt.Sprint("gpu-", i), "v1", common)
	}
	exchange(start, &here, &third)
	require.Equal(t, Refuse, third.View().PartsVerdict(newParts("v1", common)))

	peer.Harmless.AddPart(start, newPart("v1", common))
	exchange(start, &here, &peer)
	exchange(start, &here, &peer)
	require.Equal(t, Serve, here.View().PartsVerdict(newParts("v1", common)))
	exchange(start.Add(5*time.Second), &here, &third)
	require.Equal(t, Serve, third.View().PartsVerdict(newParts("v1", common)))
	require.Equal(t, Serve, here.View().PartsVerdict(newParts("v1", common)))

	var own Machine
	crash(&own, start, "gpu-1", "v1", common)
	require.True(t, own.Step(start, HarmlessPart{
		Part: newPart("v1", common),
	}))
	crash(&own, start, "gpu-2", "v1", common)
	require.False(t, own.View().IsSuspect(newPart("v1", common)))
}

// Guards against refusing parts that were in flight at all servers of a service that went down as a
// whole.
func TestPartsInFlightAtWholeServiceThatCrashesAreServedAfter(t *testing.T) {
	machine := Machine{
		Harmless: &Answered{},
	}
	machine.Harmless.AddPart(start, newPart("v1", common))
	for i := range 5 {
		crash(&machine, start.Add(20*time.Second), fmt.Sprint("gpu-", i), "v1", common)
	}
	require.Equal(t, Serve, machine.View().PartsVerdict(newParts("v1", common)))
}

// Guards against refusing a part at all servers because one build of their software crashes under it.
func TestPartThatCrashesOneBuildIsServedByAnother(t *testing.T) {
	var machine Machine
	for i := range 4 {
		crash(&machine, start, fmt.Sprint("gpu-", i), "v2", common, crashing)
	}
	require.Equal(t, Refuse, machine.View().PartsVerdict(newParts("v2", common, crashing)))
	require.Equal(t, ServeAlone, machine.View().PartsVerdict(newParts("v1", common, crashing)))
	machine.Step(start, HarmlessPart{
		Part: newPart("v1", crashing),
	})
	require.Equal(t, Refuse, machine.View().PartsVerdict(newParts("v2", common, crashing)), "an answer of another build proves nothing")
}

// Guards against a part that crashes as many servers of each build as it may of one.
func TestPartThatCrashesAllBuildsIsRefusedAfterOneCrashOfEach(t *testing.T) {
	var machine Machine
	crash(&machine, start, "gpu-1", "v1", crashing)
	crash(&machine, start, "gpu-2", "v2", crashing)
	crash(&machine, start, "gpu-3", "v3", crashing)
	for _, build := range []ident.Build{"v1", "v2", "v3"} {
		require.Equal(t, Refuse, machine.View().PartsVerdict(newParts(build, crashing)))
	}
	require.Equal(t, ServeAlone, machine.View().PartsVerdict(newParts("v4", crashing)))
	crash(&machine, start, "gpu-4", "v4", crashing)
	require.Equal(t, Refuse, machine.View().PartsVerdict(newParts("v4", crashing)))
}

// Guards against one of two parts that hides the other.
func TestTwoPartsThatCrashServersAreBothRefused(t *testing.T) {
	machine := Machine{
		Harmless: &Answered{},
	}
	machine.Harmless.AddPart(start, newPart("v1", common))
	for i := range 3 {
		crash(&machine, start, fmt.Sprint("gpu-a-", i), "v1", common, crashing)
		crash(&machine, start, fmt.Sprint("gpu-b-", i), "v1", common, other)
	}
	require.Equal(t, Refuse, machine.View().PartsVerdict(newParts("v1", common, crashing)))
	require.Equal(t, Refuse, machine.View().PartsVerdict(newParts("v1", common, other)))
	require.Equal(t, Serve, machine.View().PartsVerdict(newParts("v1", common)))
}

// Guards against a part that goes on crashing servers because others, of which no answer shows that
// they are harmless, were in flight at each of its crashes.
func TestPartIsRefusedThoughOthersExplainItsCrashes(t *testing.T) {
	var machine Machine
	for i := range maxPartCrashes {
		crash(&machine, start, fmt.Sprint("gpu-", i), "v1", common, other, crashing)
	}
	require.Equal(t, Refuse, machine.View().PartsVerdict(newParts("v1", 99, crashing)))
}

// Guards against parts of which peers go on telling each other after they have expired.
func TestHarmlessPartExpiresThoughPeersRepeatIt(t *testing.T) {
	var here, peer Machine
	crash(&here, start, "gpu-1", "v1", common)
	here.Step(start, HarmlessPart{
		Part: newPart("v1", common),
	})
	for now := start; now.Before(start.Add(partAnswerValidity + time.Second)); now = now.Add(100 * time.Millisecond) {
		exchange(now, &here, &peer)
	}
	now := start.Add(partAnswerValidity + time.Second)
	here.Step(now, Received{})
	peer.Step(now, Received{})
	require.Empty(t, here.All())
	require.Empty(t, peer.All())
}
