package streams

import (
	"context"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadaloom/internal/domain/ident"
)

var start = time.Date(2026, 12, 3, 8, 0, 0, 0, time.UTC)

func hostsIn(count, centres int) []Host {
	hosts := make([]Host, 0, count)
	for n := range count {
		name := "host-" + strconv.Itoa(n)
		hosts = append(hosts, Host{
			Name:       ident.HostID(name),
			Address:    name + ":1",
			DataCentre: ident.DataCentre("centre-" + strconv.Itoa(n%centres)),
			StartedAt:  start,
		})
	}
	return hosts
}

func origin(build ident.Build, expiresAt time.Time) Origin {
	return Origin{
		Service:   "s",
		Build:     build,
		ExpiresAt: expiresAt,
	}
}

func ledgerOf(own ident.HostID) *Ledger {
	return &Ledger{
		Own: own,
	}
}

func newTestLedger(own ident.HostID, hosts []Host, mixed bool) *Ledger {
	l := ledgerOf(own)
	l.SetHosts(hosts)
	l.SetMixed("s", mixed)
	return l
}

// deliver sends origins to the keepers that have a ledger, and counts the deliveries.
func deliver(now time.Time, from *Ledger, to map[ident.HostID]*Ledger) int {
	deliveries := from.Deliveries(now)
	for i := range deliveries {
		keeper, reachable := to[deliveries[i].Keeper.Name]
		if !reachable {
			from.RecordFailed(now, deliveries[i].Keeper.Name)
			continue
		}
		keeper.Keep(now, deliveries[i].Streams)
		from.RecordDelivered(&deliveries[i])
	}
	return len(deliveries)
}

// Guards against hosts that look for a stream's keepers elsewhere than where its origin was passed
// on to, and against keepers that are lost with one data centre.
func TestHostsAgreeOnKeepersInDifferentDataCentres(t *testing.T) {
	for _, fleet := range []struct{ hosts, centres int }{{7, 3}, {300, 6}, {985, 9}} {
		hosts := hostsIn(fleet.hosts, fleet.centres)
		own := ledgerOf("somebody else")
		own.SetHosts(hosts)
		other := ledgerOf("yet another")
		other.SetHosts(hosts)
		used := make(map[ident.HostID]bool)
		for n := range 5000 {
			id := IDOf(ident.RequestID(strconv.Itoa(n)))
			keepers := own.Keepers(id)
			require.Equal(t, keepers, other.Keepers(id))
			require.Len(t, keepers, keepersPerStream)
			centres := make(map[ident.DataCentre]bool)
			for _, keeper := range keepers {
				centres[keeper.DataCentre] = true
				used[keeper.Name] = true
			}
			require.Len(t, centres, keepersPerStream)
		}
		require.LessOrEqual(t, len(used), keepersPerStream*partitions, "hosts to which one host sends origins")
	}
	single := ledgerOf("host-0")
	single.SetHosts(hostsIn(1, 1))
	require.Empty(t, single.Keepers(1))
}

// Guards against messages for streams while all servers run one build.
func TestNothingIsPassedOnWhereOneBuildServes(t *testing.T) {
	l := newTestLedger("host-0", hostsIn(7, 3), false)
	for n := range ID(100) {
		require.False(t, l.Add(start, n, "i-1", origin("v1", start.Add(time.Minute))))
	}
	require.False(t, l.HasPending())
	require.Empty(t, l.Deliveries(start))
	l.SetMixed("s", true)
	require.NotEmpty(t, l.Deliveries(start), "streams that began before")
	l.SetMixed("s", false)
	require.Empty(t, l.Deliveries(start))
	require.False(t, l.HasPending())
}

// Guards against keepers that lack an origin since they did not answer once, or have started again.
func TestOriginReachesKeepersThatWereAwayOrStartedAgain(t *testing.T) {
	hosts := hostsIn(4, 4)
	l := newTestLedger("host-9", hosts, true)
	id := IDOf("r1")
	keepers := l.Keepers(id)
	to := make(map[ident.HostID]*Ledger)
	for _, keeper := range keepers[1:] {
		to[keeper.Name] = ledgerOf(keeper.Name)
	}
	l.Add(start, id, "i-1", origin("v1", start.Add(time.Minute)))
	require.Equal(t, 3, deliver(start, l, to))
	require.Zero(t, deliver(start, l, to), "not while the one away is left alone")
	require.True(t, l.HasPending())
	to[keepers[0].Name] = ledgerOf(keepers[0].Name)
	require.Equal(t, 1, deliver(start.Add(keeperBackoff), l, to))
	l.Deliveries(start.Add(keeperBackoff))
	require.False(t, l.HasPending())
	for _, keeper := range to {
		found, known := keeper.Find(start, id)
		require.True(t, known)
		require.Equal(t, ident.Build("v1"), found.Build)
	}
	restarted := slices.Clone(hosts)
	for i := range restarted {
		if restarted[i].Name == keepers[1].Name {
			restarted[i].StartedAt = start.Add(2 * time.Second)
		}
	}
	l.SetHosts(restarted)
	to[keepers[1].Name] = ledgerOf(keepers[1].Name)
	deliver(start.Add(3*time.Second), l, to)
	_, known := to[keepers[1].Name].Find(start, id)
	require.True(t, known)
}

// Guards against origins that fill the memory of a host, and against deliveries of those dropped.
func TestOriginsAreBoundedAndExpire(t *testing.T) {
	l := newTestLedger("host-0", hostsIn(7, 3), true)
	for n := range ID(maxStreams + 1000) {
		l.Add(start, n, "i-1", origin("v1", start.Add(time.Second)))
	}
	require.Equal(t, maxStreams, l.Len())
	_, known := l.Find(start, 0)
	require.False(t, known, "the oldest is dropped")
	late := start.Add(time.Second + Retention)
	_, known = l.Find(late, maxStreams)
	require.True(t, known)
	late = late.Add(time.Millisecond)
	_, known = l.Find(late, maxStreams)
	require.False(t, known)
	require.Empty(t, l.Deliveries(late))
	require.False(t, l.HasPending())
	l.Add(late, maxStreams+5000, "i-1", origin("v1", late))
	require.Equal(t, 1, l.Len())
}

// Guards against a stream whose recorded build is that of its server's entry before the server
// started again with other software.
func TestStreamsOfRestartedServerAreInvalidated(t *testing.T) {
	l := newTestLedger("host-9", hostsIn(4, 4), true)
	to := make(map[ident.HostID]*Ledger)
	for _, host := range hostsIn(4, 4) {
		to[host.Name] = ledgerOf(host.Name)
	}
	l.Add(start, 1, "i-1", origin("v1", start.Add(time.Minute)))
	l.Add(start.Add(entryDelay), 2, "i-1", origin("v1", start.Add(time.Minute)))
	l.Add(start.Add(entryDelay), 3, "i-2", origin("v1", start.Add(time.Minute)))
	now := start.Add(entryDelay)
	deliver(now, l, to)
	l.Invalidate(now, "i-1")
	deliver(now, l, to)
	for id, build := range map[ID]ident.Build{1: "v1", 2: UnknownBuild, 3: "v1"} {
		found, _ := l.Find(now, id)
		require.Equal(t, build, found.Build)
		for _, keeper := range l.Keepers(id) {
			found, _ = to[keeper.Name].Find(now, id)
			require.Equal(t, build, found.Build)
		}
	}
}

// Guards against an origin that is forgotten while its client goes on with a later deadline.
func TestStreamTakenUpIsKeptLonger(t *testing.T) {
	l := newTestLedger("host-0", hostsIn(7, 3), true)
	l.Add(start, 1, "i-1", origin("v1", start))
	l.Add(start, 1, "i-1", origin("v1", start.Add(time.Minute)))
	l.Add(start, 1, "i-1", origin("v1", start.Add(time.Second)))
	_, known := l.Find(start.Add(Retention+30*time.Second), 1)
	require.True(t, known)
}

// Guards against a build that is guessed where several may have begun the stream.
func TestConclude(t *testing.T) {
	known := Answer{
		Known:  true,
		Origin: origin("v2", start),
	}
	of := func(builds ...ident.Build) Answer {
		return Answer{
			Builds: builds,
		}
	}
	for name, c := range map[string]struct {
		builds    []ident.Build
		confirmed bool
		// unrecorded tells that there is no history of builds.
		unrecorded bool
		answers    []Answer
		build      ident.Build
	}{
		"nobody knows, one build, no history":    {builds: []ident.Build{"v1"}, confirmed: true, unrecorded: true, answers: []Answer{of("v1")}},
		"a keeper knows":                         {builds: []ident.Build{"v1", "v2"}, confirmed: true, answers: []Answer{of("v1", "v2"), known}, build: "v2"},
		"a keeper knows, own view not confirmed": {builds: []ident.Build{"v1"}, answers: []Answer{known}, build: "v2"},
		"nobody knows, two builds":               {builds: []ident.Build{"v1", "v2"}, confirmed: true, answers: []Answer{of("v1", "v2")}},
		"nobody knows, one build":                {builds: []ident.Build{"v1"}, confirmed: true, answers: []Answer{of("v1")}, build: "v1"},
		"nobody knows, a keeper saw two builds":  {builds: []ident.Build{"v2"}, confirmed: true, answers: []Answer{of("v1", "v2")}},
		"nobody knows, a keeper saw another one": {builds: []ident.Build{"v2"}, confirmed: true, answers: []Answer{of("v1")}},
		"nobody answers, one build":              {builds: []ident.Build{"v1"}, confirmed: true, build: "v1"},
		"nobody answers, own view not confirmed": {builds: []ident.Build{"v1"}},
		"nobody knows, own view not confirmed":   {builds: []ident.Build{"v1"}, answers: []Answer{of("v1")}, build: "v1"},
		"no server is known":                     {confirmed: true},
	} {
		view := View{
			Builds:      c.builds,
			HasHistory:  !c.unrecorded,
			IsConfirmed: c.confirmed,
		}
		found, isFound := Conclude("s", &view, c.answers)
		require.Equal(t, c.build != "", isFound, name)
		require.Equal(t, c.build, found.Build, name)
	}
}

// BenchmarkStream has some 11 streams a second at each host, and the interval between deliveries of
// a fleet of that size.
func BenchmarkStream(b *testing.B) {
	for _, fleet := range []struct{ hosts, streamsPerDelivery int }{{7, 2}, {300, 13}, {985, 13}} {
		for _, mixed := range []bool{false, true} {
			b.Run(strconv.Itoa(fleet.hosts)+"/mixed="+strconv.FormatBool(mixed), func(b *testing.B) {
				l := newTestLedger("host-0", hostsIn(fleet.hosts, 6), mixed)
				streams, messages := 0, 0
				for b.Loop() {
					streams++
					l.Add(start, IDOf(ident.RequestID(strconv.Itoa(streams))), "i-1", origin("v1", start.Add(time.Second)))
					if streams%fleet.streamsPerDelivery != 0 {
						continue
					}
					deliveries := l.Deliveries(start)
					messages += len(deliveries)
					for i := range deliveries {
						l.RecordDelivered(&deliveries[i])
					}
				}
				b.ReportMetric(float64(messages)/float64(streams), "messages/op")
			})
		}
	}
}

func BenchmarkKeepersAfterChange(b *testing.B) {
	for _, count := range []int{7, 300, 985} {
		b.Run(strconv.Itoa(count), func(b *testing.B) {
			hosts := hostsIn(count, 6)
			for b.Loop() {
				l := ledgerOf("host-0")
				l.SetHosts(hosts)
				for id := range ID(partitions) {
					l.Keepers(id)
				}
			}
		})
	}
}

// Guards against streams of a build that left before a host started, and that the host takes for
// those of the only build that it has seen.
func TestHistoryHasBuildsThatLeftLately(t *testing.T) {
	update := func(h History, now time.Time, running ...ident.Build) (History, bool) {
		return h.Update(now, map[ident.ServiceName][]ident.Build{"s": running})
	}
	history, changed := update(nil, start, "v1")
	require.True(t, changed)
	require.True(t, history.Has("s"))
	require.False(t, history.Lacks(start, "s", "v1"))
	require.True(t, history.Lacks(start, "s", "v2"))
	require.False(t, history.Lacks(start, "t", "v2"), "no history yet")
	history, _ = update(history, start, "v2", "v1")
	_, changed = update(history, start, "v1", "v2")
	require.False(t, changed)
	history, changed = update(history, start, "v2")
	require.True(t, changed)
	require.ElementsMatch(t, []ident.Build{"v1", "v2"}, history.Recent(start.Add(Retention), "s"))
	require.Equal(t, []ident.Build{"v2"}, history.Recent(start.Add(Retention+clockTolerance), "s"))
	back, changed := update(history, start, "v1", "v2")
	require.True(t, changed)
	require.Len(t, back.Recent(start.Add(time.Hour), "s"), 2)
	later, _ := update(history, start.Add(time.Hour), "v2", "v3")
	require.Len(t, later["s"], 2, "old builds are dropped")
	undeclared, _ := history.Update(start, map[ident.ServiceName][]ident.Build{})
	require.NotContains(t, undeclared.Recent(start.Add(time.Hour), "s"), ident.Build("v2"))
}

// Guards against a history that grows without bound, or is written again and again, where each
// server runs software of its own.
func TestHistoryIsBounded(t *testing.T) {
	var builds []ident.Build
	for n := range 1000 {
		builds = append(builds, ident.Build("build "+strconv.Itoa(n)))
	}
	running := map[ident.ServiceName][]ident.Build{"s": builds}
	history, _ := History(nil).Update(start, running)
	require.Len(t, history["s"], maxServedBuilds)
	again, changed := history.Update(start, running)
	require.False(t, changed)
	require.Equal(t, history, again)
	require.False(t, history.Lacks(start, "s", "build 999"), "a server must not wait for a record without room")
}

// Guards against origins that are stored after their clients have come back, and against those that
// are stored twice or not at all.
func TestNewestOriginsAreStoredFirst(t *testing.T) {
	l := newTestLedger("host-0", hostsIn(7, 3), false)
	expiresAt := start.Add(time.Minute)
	for n := range ID(100) {
		l.Add(start.Add(time.Duration(n)*time.Millisecond), n, "i-1", origin("v1", expiresAt))
	}
	require.Empty(t, l.Unstored(start, 32), "one build serves")
	l.SetMixed("s", true)
	l.Add(start.Add(time.Second), 100, "i-1", origin("v1", expiresAt))
	l.Add(start.Add(time.Second), 100, "i-1", origin("v1", expiresAt))
	first := l.Unstored(start, 32)
	require.Len(t, first, 32)
	require.Equal(t, ID(100), first[0].ID)
	require.Equal(t, ID(99), first[1].ID)
	require.Equal(t, first, l.Unstored(start, 32), "not recorded as stored")
	stored := make(map[ID]bool)
	for len(first) > 0 {
		for _, stream := range first {
			require.False(t, stored[stream.ID], "stored twice")
			stored[stream.ID] = true
		}
		l.RecordStored(first)
		first = l.Unstored(start, 32)
	}
	require.Len(t, stored, 101)
	l.Invalidate(start.Add(time.Second), "i-1")
	again := l.Unstored(start, 200)
	require.Len(t, again, 101, "with another build")
	require.Equal(t, UnknownBuild, again[0].Build)
	require.Empty(t, l.Unstored(expiresAt.Add(Retention+time.Millisecond), 32), "expired")
}

// Guards against a stream that goes on at the build of an origin that was withdrawn, if that
// origin's write takes effect last.
func TestStoredOriginsThatDifferTellNoBuild(t *testing.T) {
	_, known := ConcludeStored(nil)
	require.False(t, known)
	found, known := ConcludeStored([]Origin{origin("v1", start), origin("v1", start)})
	require.True(t, known)
	require.Equal(t, ident.Build("v1"), found.Build)
	for _, stored := range [][]Origin{
		{origin("v1", start), origin(UnknownBuild, start)},
		{origin(UnknownBuild, start), origin("v1", start)},
		{origin("v1", start), origin("v2", start)},
	} {
		found, known = ConcludeStored(stored)
		require.True(t, known)
		require.Equal(t, UnknownBuild, found.Build)
	}
}

// Guards against streams whose clients can resume them before their origins are stored.
func TestNewStreamAwaitsThatItsOriginIsStored(t *testing.T) {
	l := newTestLedger("host-0", hostsIn(7, 3), false)
	l.Add(start, 1, "i-1", origin("v1", start))
	require.True(t, l.AwaitStored(t.Context(), 1), "one build serves")
	require.True(t, l.AwaitStored(t.Context(), 2), "not known")
	l.SetMixed("s", true)
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	require.False(t, l.AwaitStored(ended, 1))
	done := make(chan bool)
	for range 2 {
		go func() { done <- l.AwaitStored(t.Context(), 1) }()
	}
	l.Add(start, 2, "i-1", origin("v1", start))
	l.RecordStored(l.Unstored(start, 1))
	l.RecordStored(l.Unstored(start, 1))
	require.True(t, <-done)
	require.True(t, <-done)
}
