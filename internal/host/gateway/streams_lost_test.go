package gateway

import (
	"encoding/json"
	"maps"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadaloom/internal/control/balance"
	"cicadaloom/internal/control/streams"
	"cicadaloom/internal/domain/ident"
)

// killAll kills all hosts.
func (f *fleet) killAll() {
	for name := range f.hosts {
		f.kill(name)
	}
}

// returnOf starts a host, and waits until it is ready.
func (f *fleet) returnOf(name string) {
	f.start(name)
	f.eventually(func() bool { return f.isReady(name) }, name)
}

// removeBuild deletes the entries of the servers that startStreamFleet started for a build.
func (f *fleet) removeBuild(build string) {
	f.keyValue.delete("servers/" + build + "-one")
	f.keyValue.delete("servers/" + build + "-two")
}

// of returns the streams that began at a build.
func of(begun map[string]ident.Build, build ident.Build) map[string]ident.Build {
	some := maps.Clone(begun)
	maps.DeleteFunc(some, func(_ string, at ident.Build) bool { return at != build })
	return some
}

// Guards against streams that go on at another build, after all hosts were killed, since the build
// that began them left before they were killed or before they were back.
func TestStreamOfBuildThatLeftGoesOnNowhereAfterAllHostsWereKilled(t *testing.T) {
	for name, leaveFirst := range map[string]bool{"Before": true, "Meanwhile": false} {
		t.Run(name, func(t *testing.T) {
			f := startStreamFleet(t, []ident.Build{"v1", "v2"}, "a", "b", "c")
			begun := f.begin("a", 2)
			if leaveFirst {
				f.removeBuild("v1")
				f.eventually(func() bool { return f.hosts["b"].buildCount("old") == 1 }, "b knows that v1 has left")
			}
			f.killAll()
			if !leaveFirst {
				f.removeBuild("v1")
			}
			for _, host := range []string{"b", "a", "c"} {
				f.returnOf(host)
				f.requireRefused(host, of(begun, "v1"))
				f.requireGoesOn(host, of(begun, "v2"))
			}
		})
	}
}

// buildCount returns how many builds of a service run.
func (g *Gateway) buildCount(service ident.ServiceName) int {
	return len(g.Pool(service).RunningBuilds())
}

// Guards against a stream that began while one build served and goes on at its successor, after all
// hosts were killed and the servers replaced meanwhile.
func TestStreamOfOnlyBuildThatWasReplacedIsRefusedAfterAllHostsWereKilled(t *testing.T) {
	f := startStreamFleet(t, []ident.Build{"v1"}, "a", "b", "c")
	begun := f.begin("a", 1)
	f.killAll()
	f.removeBuild("v1")
	f.serveBuild("v2", "v2-one")
	f.serveBuild("v2", "v2-two")
	f.returnOf("b")
	f.requireRefused("b", begun)
}

// Guards against streams that are refused, though servers of their builds run, after all hosts were
// killed once or twice and come back one by one.
func TestStreamsGoOnAfterAllHostsWereKilledWhileTwoBuildsServed(t *testing.T) {
	f := startStreamFleet(t, []ident.Build{"v1", "v2"}, "a", "b", "c")
	begun := f.begin("a", 2)
	maps.Copy(begun, f.begin("b", 2))
	for range 2 {
		f.killAll()
		for _, host := range []string{"c", "a", "b"} {
			f.returnOf(host)
			f.requireGoesOn(host, begun)
		}
	}
}

// Guards against streams that began before the second build appeared and can't go on after all
// hosts were killed.
func TestStreamsBegunBeforeSecondBuildGoOnAfterAllHostsWereKilled(t *testing.T) {
	f := startStreamFleet(t, []ident.Build{"v1"}, "a", "b", "c")
	begun := f.begin("a", 1)
	f.serveBuild("v2", "v2-one")
	f.serveBuild("v2", "v2-two")
	f.eventually(func() bool { return f.hosts["a"].streams.stored.Get() >= uint64(len(begun)) }, "origins are stored")
	f.killAll()
	f.returnOf("c")
	f.requireGoesOn("c", begun)
}

// Guards against streams whose build is guessed since the key-value service doesn't answer, after
// all hosts were killed, and against those that are refused once it does.
func TestStreamsAfterAllHostsWereKilledWaitForTheKeyValueService(t *testing.T) {
	f := startStreamFleet(t, []ident.Build{"v1", "v2"}, "a", "b", "c")
	begun := f.begin("a", 2)
	f.killAll()
	f.returnOf("b")
	f.keyValue.setUnavailable("b", true)
	f.requireRefused("b", begun)
	f.keyValue.setUnavailable("b", false)
	f.eventually(func() bool { return f.hosts["b"].isInTouch() }, "b reads again")
	f.requireGoesOn("b", begun)
}

// Guards against streams that begin at a build of which hosts that start later can't know.
func TestServerOfNewBuildGetsNoRequestsUntilItIsRecorded(t *testing.T) {
	f := startStreamFleet(t, []ident.Build{"v1"}, "a")
	f.eventually(func() bool { return f.hosts["a"].streams.loadHistory().Has("old") }, "the history has v1")
	f.keyValue.setReadOnly(true)
	f.serveBuild("v2", "v2-one")
	f.eventually(func() bool { return f.hosts["a"].buildCount("old") == 2 }, "a knows v2")
	isUsed := func() bool {
		ticket, _ := f.hosts["a"].Pool("old").Take(time.Now(), balance.Criteria{
			Build: "v2",
		})
		return ticket != nil
	}
	require.False(t, isUsed())
	f.keyValue.setReadOnly(false)
	f.eventually(isUsed, "v2 is used")
	require.False(t, f.hosts["a"].streams.loadHistory().Lacks(time.Now(), "old", "v2"))
}

// Guards against a server of a new build that gets no requests as long as nobody can record it.
func TestServerOfNewBuildIsUsedThoughItCanNotBeRecorded(t *testing.T) {
	f := startStreamFleet(t, []ident.Build{"v1"}, "a")
	f.eventually(func() bool { return f.hosts["a"].streams.loadHistory().Has("old") }, "the history has v1")
	f.keyValue.setReadOnly(true)
	f.removeBuild("v1")
	f.serveBuild("v2", "v2-one")
	f.eventually(func() bool { return f.take("a", "r1", "", 0, 1).status == http.StatusOK }, "v2 is used")
}

// Guards against a host that was suspended, or was cut off just now, and takes the builds that it saw
// before for all there are.
func TestHostThatWasSuspendedDoesNotTrustItsView(t *testing.T) {
	f := startStreamFleet(t, []ident.Build{"v1"}, "a")
	f.eventually(func() bool { return f.hosts["a"].isInTouch() && f.hosts["a"].streams.loadHistory().Has("old") }, "a reads the service")
	_, known := f.hosts["a"].FindStream(t.Context(), "r1", "old")
	require.True(t, known)
	f.keyValue.setUnavailable("a", true)
	require.True(t, f.hosts["a"].isInTouch(), "by what it knows")
	_, known = f.hosts["a"].FindStream(t.Context(), "r1", "old")
	require.False(t, known)
}

// Guards against requests that share a read of the history that began before they asked.
func TestHistoryReadBeginsAfterItsRequest(t *testing.T) {
	var reads historyReads
	first, mustStart := reads.join()
	require.True(t, mustStart)
	again, mustStart := reads.join()
	require.False(t, mustStart)
	require.Same(t, first, again)
	require.Same(t, first, reads.begin())
	second, mustStart := reads.join()
	require.False(t, mustStart, "the goroutine goes on")
	require.NotSame(t, first, second)
	require.Same(t, second, reads.begin())
	require.Nil(t, reads.begin())
	_, mustStart = reads.join()
	require.True(t, mustStart)
}

// Guards against a history whose entry can't be read and is taken for one without builds.
func TestHistoryThatCanNotBeDecodedChangesNothing(t *testing.T) {
	f := startStreamFleet(t, []ident.Build{"v1"}, "a")
	f.eventually(func() bool { return f.hosts["a"].streams.loadHistory().Has("old") }, "the history has v1")
	f.keyValue.write("servers-ours/builds", json.RawMessage(`"nothing"`))
	f.serveBuild("v2", "v2-one")
	f.eventually(func() bool { return f.hosts["a"].buildCount("old") == 2 }, "a has read on")
	require.True(t, f.hosts["a"].streams.loadHistory().Has("old"))
	f.eventually(func() bool { return len(f.hosts["a"].streams.loadHistory()["old"]) == 2 }, "the entry is replaced")
}

// Guards against streams that can't be resumed since all hosts were killed right after their first
// event.
func TestStreamGoesOnThoughAllHostsWereKilledAtItsFirstEvent(t *testing.T) {
	f := startStreamFleet(t, []ident.Build{"v1", "v2"}, "a", "b", "c")
	f.eventually(func() bool { return f.hosts["a"].buildCount("old") == 2 }, "a knows both builds")
	begun := make(map[string]ident.Build)
	for n := range 4 {
		id := "r" + strconv.Itoa(n)
		begun[id] = f.take("a", id, "", 0, 1).build
	}
	f.killAll()
	f.returnOf("b")
	for id, build := range begun {
		again := f.take("b", id+"-again", id, 1, 3)
		require.Equal(t, http.StatusOK, again.status)
		require.Equal(t, build, again.build)
	}
}

// Guards against streams that wait for a key-value service that does not answer.
func TestStreamDoesNotWaitForUnavailableKeyValueService(t *testing.T) {
	f := startStreamFleet(t, []ident.Build{"v1", "v2"}, "a")
	f.eventually(func() bool { return f.hosts["a"].buildCount("old") == 2 }, "a knows both builds")
	f.keyValue.setReadOnly(true)
	require.Equal(t, http.StatusOK, f.take("a", "r1", "", 0, 1).status)
	f.eventually(func() bool { return f.hosts["a"].streams.isStoreFailing.Load() }, "a write fails")
	f.hosts["a"].RecordStream("r2", "v1-one", streams.Origin{
		Service: "old",
		Build:   "v1",
	})
	begunAt := time.Now()
	f.hosts["a"].AwaitStored(t.Context(), "r2")
	require.Less(t, time.Since(begunAt), originHoldTime)
}
