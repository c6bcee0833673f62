package suspects

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadaloom/internal/domain/ident"
)

var start = time.Unix(1_700_000_000, 0)

func newCrash(fingerprint ident.Fingerprint, server, incarnation string) Crash {
	return Crash{
		Fingerprint: fingerprint,
		ServerIncarnation: ServerIncarnation{
			Server:      ident.ServerName(server),
			Incarnation: ident.Incarnation(incarnation),
		},
	}
}

// A caller sends a request again that has crashed two engines. No other engine must get it,
// whichever host the caller uses.
func TestSuspectOfTwoCrashesIsRefusedOnAllHosts(t *testing.T) {
	var first, second Machine
	require.True(t, first.Step(start, newCrash(7, "gpu-1", "a")))
	require.Equal(t, ServeAlone, first.View().Verdict(7))
	require.True(t, first.Step(start, newCrash(7, "gpu-2", "b")))
	require.Equal(t, Refuse, first.View().Verdict(7))

	require.True(t, second.Step(start, Received{
		Suspects: first.All(),
	}))
	require.Equal(t, Refuse, second.View().Verdict(7))
	require.Equal(t, Serve, second.View().Verdict(8))
	var none *View
	require.Equal(t, Serve, none.Verdict(7))
}

// One engine crashes once; three hosts lose requests there, and all report it repeatedly. A
// harmless request that ran beside the cause must not be refused for that.
func TestCrashReportedTwiceCountsOnce(t *testing.T) {
	var here, peer Machine
	here.Step(start, newCrash(7, "gpu-1", "a"))
	peer.Step(start, newCrash(7, "gpu-1", "a"))
	for range 3 {
		require.False(t, here.Step(start, Received{
			Suspects: peer.All(),
		}))
	}
	require.Equal(t, ServeAlone, here.View().Verdict(7))
	require.False(t, here.Step(start, newCrash(7, "gpu-1", "a")))
	require.True(t, here.Step(start, newCrash(7, "gpu-1", "life after")))
	require.Equal(t, Refuse, here.View().Verdict(7))
}

// The requests that ran beside the cause of a crash are run alone and answered, which
// clears them. An answer that was in flight elsewhere must not clear a request of two
// crashes.
func TestAnswerClearsOneCrashButNotTwo(t *testing.T) {
	var machine Machine
	machine.Step(start, newCrash(1, "gpu-1", "a"))
	machine.Step(start, newCrash(2, "gpu-1", "a"))
	machine.Step(start, newCrash(2, "gpu-2", "b"))
	require.True(t, machine.Step(start, Cleared{
		Fingerprint: 1,
	}))
	require.False(t, machine.Step(start, Cleared{
		Fingerprint: 2,
	}))
	require.False(t, machine.Step(start, Cleared{
		Fingerprint: 3,
	}))
	require.Equal(t, Serve, machine.View().Verdict(1))
	require.Equal(t, Refuse, machine.View().Verdict(2))
}

// Many crashes make thousands of suspects. Memory and messages must stay bounded, and the
// suspects that expire first are dropped.
func TestSuspectsAreBoundedAndExpire(t *testing.T) {
	var machine Machine
	for i := range maxSuspects + 10 {
		machine.Step(start.Add(time.Duration(i)*time.Millisecond), newCrash(ident.Fingerprint(i), fmt.Sprint("gpu-", i), "a"))
	}
	require.Len(t, machine.All(), maxSuspects)
	require.Equal(t, Serve, machine.View().Verdict(0))
	require.Equal(t, ServeAlone, machine.View().Verdict(maxSuspects+9))

	require.True(t, machine.Step(start.Add(2*Retention), Cleared{
		Fingerprint: 1,
	}))
	require.Empty(t, machine.All())
}

// A host that was suspended for an hour reports suspects that have expired on all other
// hosts. If they were added, they would be refused or run alone for another round of
// messages.
func TestExpiredSuspectFromPeerIsIgnored(t *testing.T) {
	var peer, here Machine
	peer.Step(start, newCrash(7, "gpu-1", "a"))
	later := start.Add(Retention + time.Second)
	require.False(t, here.Step(later, Received{
		Suspects: peer.All(),
	}))
	require.Equal(t, Serve, here.View().Verdict(7))
}

// Guards against a refused request that other hosts do not learn of, and that is forgotten, because
// a crash of large servers has made many suspects since.
func TestManySuspectsDoNotDisplaceRefusedOnes(t *testing.T) {
	var machine Machine
	machine.Step(start, newCrash(7, "gpu-1", "a"))
	machine.Step(start, newCrash(7, "gpu-2", "b"))
	for i := range 2 * maxSuspects {
		machine.Step(start.Add(time.Second), newCrash(ident.Fingerprint(100+i), fmt.Sprint("gpu-", i), "a"))
	}
	require.Equal(t, Refuse, machine.View().Verdict(7))
	sent := machine.MostUrgent(32)
	require.Len(t, sent, 32)
	var peer Machine
	peer.Step(start.Add(time.Second), Received{
		Suspects: sent,
	})
	require.Equal(t, Refuse, peer.View().Verdict(7))
}

// Guards against a request that is refused for ever because hosts go on telling each other of it.
func TestSuspectExpiresThoughPeersRepeatIt(t *testing.T) {
	var here, peer Machine
	peer.Step(start, newCrash(7, "gpu-1", "a"))
	peer.Step(start, newCrash(7, "gpu-2", "b"))
	const transit = 30 * time.Millisecond
	tell := func(to, from *Machine, now time.Time) {
		told := from.All()
		for i := range told {
			told[i].KeepUntil = told[i].KeepUntil.Add(transit) // as decoded from the time that is left
		}
		to.Step(now, Received{
			Suspects: told,
		})
	}
	end := start.Add(Retention + time.Minute)
	for now := start; now.Before(end); now = now.Add(100 * time.Millisecond) {
		tell(&here, &peer, now)
		tell(&peer, &here, now)
	}
	require.Equal(t, Serve, here.View().Verdict(7))
	require.Equal(t, Serve, peer.View().Verdict(7))
}
