package gateway

import (
	"bufio"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadaloom/internal/control/balance"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/route"
)

// streamLength is the number of events of a test's stream, streamPause the time between them.
const (
	streamLength = 200
	streamPause  = 10 * time.Millisecond
)

// streamer is a server whose streams' events have its build as their data.
func streamer(build ident.Build) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Content-Type", "text/event-stream")
		first, _ := strconv.Atoi(r.Header.Get("After"))
		for n := first + 1; n <= streamLength && r.Context().Err() == nil; n++ {
			_, _ = io.WriteString(w, "id: "+strconv.Itoa(n)+"\ndata: "+string(build)+"\n\n")
			w.(http.Flusher).Flush()
			time.Sleep(streamPause)
		}
	}
}

// startStreamFleet starts hosts and two servers of each build.
func startStreamFleet(t *testing.T, builds []ident.Build, names ...string) *fleet {
	f := newFleet(t)
	streams := configuration(1, "old")
	streams.Routes[0].Kind = route.Stream
	streams.Routes[0].Resumable = true
	streams.Routes[0].Timeout = 5 * time.Second
	f.keyValue.write("configuration", streams)
	for _, build := range builds {
		f.serveBuild(build, string(build)+"-one")
		f.serveBuild(build, string(build)+"-two")
	}
	for _, name := range names {
		f.start(name)
	}
	for _, name := range names {
		f.eventually(func() bool { return f.isReady(name) && f.hosts[name].knownHostCount.Load() == int64(len(names)) }, name)
	}
	return f
}

// serveBuild starts a server that streams, and writes its entry.
func (f *fleet) serveBuild(build ident.Build, name string) *httptest.Server {
	server := httptest.NewServer(streamer(build))
	f.t.Cleanup(server.Close)
	f.keyValue.write("servers/"+name, entry{
		Service: "old",
		Address: server.Listener.Addr().String(),
		Life:    "1",
		Build:   build,
	})
	return server
}

// stream is a client's stream: a part of an answer.
type stream struct {
	status int
	// build is what the events have as their data, last the number of the last event.
	build ident.Build
	last  int
	close func()
}

// take begins or resumes a stream, and reads the events up to a number.
func (f *fleet) take(host, id, resumes string, after, until int) stream {
	r, err := http.NewRequest(http.MethodPost, "http://"+f.listen[host].Callers+"/x", nil)
	require.NoError(f.t, err)
	r.Host = "desk.example"
	r.Header.Set("Id", id)
	if resumes != "" {
		r.Header.Set("Began", resumes)
		r.Header.Set("After", strconv.Itoa(after))
	}
	response, err := http.DefaultClient.Do(r)
	require.NoError(f.t, err)
	f.t.Cleanup(func() { _ = response.Body.Close() })
	got := stream{
		status: response.StatusCode,
		last:   after,
		close:  func() { _ = response.Body.Close() },
	}
	if got.status != http.StatusOK {
		return got
	}
	lines := bufio.NewScanner(response.Body)
	for got.last < until && lines.Scan() {
		if text, found := strings.CutPrefix(lines.Text(), "data: "); found {
			got.last++
			require.True(f.t, got.build == "" || got.build == ident.Build(text), "one answer with events of two builds")
			got.build = ident.Build(text)
		}
	}
	return got
}

// begin begins streams at a host, one for each build at least, and waits until their keepers have
// their origins. It returns the streams' builds by their ids.
func (f *fleet) begin(host string, builds int) map[string]ident.Build {
	begun := make(map[string]ident.Build)
	seen := make(map[ident.Build]bool)
	for n := 0; len(begun) < 6 || len(seen) < builds; n++ {
		id := host + "-" + strconv.Itoa(n)
		got := f.take(host, id, "", 0, 5)
		require.Equal(f.t, http.StatusOK, got.status)
		begun[id] = got.build
		seen[got.build] = true
	}
	ledger := &f.hosts[host].streams.ledger
	f.eventually(func() bool { return !ledger.HasPending() && len(ledger.Unstored(time.Now(), 1)) == 0 }, "origins are passed on")
	return begun
}

// requireGoesOn requires that streams go on at their builds.
func (f *fleet) requireGoesOn(host string, begun map[string]ident.Build) {
	f.t.Helper()
	for id, build := range begun {
		again := f.take(host, id+"-at-"+host, id, 5, 10)
		require.Equal(f.t, http.StatusOK, again.status, host)
		require.Equal(f.t, build, again.build, host)
		again.close()
	}
}

// requireRefused requires that streams are refused at once.
func (f *fleet) requireRefused(host string, begun map[string]ident.Build) {
	f.t.Helper()
	for id := range begun {
		askedAt := time.Now()
		again := f.take(host, id+"-at-"+host, id, 5, 10)
		require.Equal(f.t, http.StatusServiceUnavailable, again.status, host)
		require.Less(f.t, time.Since(askedAt), time.Second)
	}
}

// Guards against a stream that its client resumes at another host, and that goes on at another
// build of the software.
func TestClientsStreamGoesOnAtItsBuild(t *testing.T) {
	f := startStreamFleet(t, []ident.Build{"v1", "v2"}, "a", "b", "c")
	begun := f.begin("a", 2)
	for _, host := range []string{"b", "c", "a"} {
		f.requireGoesOn(host, begun)
	}
}

// Guards against streams that can't go on, or go on at another build, once their host is lost, also
// at that host after it has started again.
func TestStreamGoesOnAfterItsHostWasKilled(t *testing.T) {
	f := startStreamFleet(t, []ident.Build{"v1", "v2"}, "a", "b", "c")
	begun := f.begin("a", 2)
	f.kill("a")
	f.requireGoesOn("b", begun)
	f.start("a", f.listen["b"].Peers)
	f.eventually(func() bool { return f.isReady("a") && f.hosts["a"].knownHostCount.Load() == 3 }, "a is back")
	f.requireGoesOn("a", begun)
}

// Guards against a stream that began while one build served and, resumed at another host, goes on
// at a build that has appeared since.
func TestStreamBegunBeforeSecondBuildGoesOnAtFirst(t *testing.T) {
	f := startStreamFleet(t, []ident.Build{"v1"}, "a", "b", "c")
	begun := f.begin("a", 1)
	f.serveBuild("v2", "v2-one")
	f.serveBuild("v2", "v2-two")
	f.eventually(func() bool { return f.hosts["b"].buildCount("old") == 2 }, "b knows both")
	f.eventually(func() bool { return f.hosts["b"].streams.ledger.Len() == len(begun) }, "b keeps the origins")
	f.kill("a")
	f.requireGoesOn("b", begun)
}

// Guards against a stream that waits until its deadline for a build that is gone, or goes on at
// another.
func TestStreamOfBuildThatIsGoneIsRefusedAtOnce(t *testing.T) {
	f := startStreamFleet(t, []ident.Build{"v1", "v2"}, "a", "b", "c")
	begun := f.begin("a", 2)
	for _, name := range []string{"v2-one", "v2-two"} {
		f.keyValue.delete("servers/" + name)
	}
	f.eventually(func() bool {
		ticket, _ := f.hosts["b"].Pool("old").Take(time.Now(), balance.Criteria{
			Build: "v2",
		})
		return ticket == nil
	}, "b knows that v2 is gone")
	gone := maps.Clone(begun)
	maps.DeleteFunc(gone, func(_ string, build ident.Build) bool { return build != "v2" })
	maps.DeleteFunc(begun, func(_ string, build ident.Build) bool { return build != "v1" })
	f.requireRefused("b", gone)
	f.requireGoesOn("b", begun)
}

// Guards against a host that finds a stream's origin nowhere and guesses at which build it began.
func TestHostWithoutPeersGuessesNoBuild(t *testing.T) {
	f := startStreamFleet(t, []ident.Build{"v1", "v2"}, "a", "b", "c")
	begun := f.begin("a", 2)
	f.killAll()
	f.keyValue.deleteAll("streams-ours/")
	f.start("d")
	f.eventually(func() bool { return f.isReady("d") }, "d")
	f.requireRefused("d", begun)
}

// Guards against streams that are refused after all hosts were lost, although all servers run one
// build.
func TestStreamGoesOnAfterAllHostsWereKilled(t *testing.T) {
	f := startStreamFleet(t, []ident.Build{"v1"}, "a", "b", "c")
	begun := f.begin("a", 1)
	f.killAll()
	f.start("b")
	f.eventually(func() bool { return f.isReady("b") }, "b")
	f.requireGoesOn("b", begun)
}

// Guards against streams that a host refuses in the first moment after its start, when it knows its
// routes and no servers yet.
func TestStreamWaitsUntilStartedHostKnowsServers(t *testing.T) {
	f := startStreamFleet(t, []ident.Build{"v1"}, "a")
	begun := f.begin("a", 1)
	f.kill("a")
	entries := make(map[string]json.RawMessage)
	for _, name := range []string{"servers/v1-one", "servers/v1-two"} {
		entries[name] = json.RawMessage(f.keyValue.value(name))
		f.keyValue.delete(name)
	}
	f.start("b")
	f.eventually(func() bool { return f.hosts["b"].Routes() != nil }, "routes")
	written := time.AfterFunc(200*time.Millisecond, func() {
		for name, entry := range entries {
			f.keyValue.write(name, entry)
		}
	})
	defer written.Stop()
	f.requireGoesOn("b", begun)
}

// Guards against a stream that goes on at a server that has come back under its id and address
// with other software.
func TestServerBackWithOtherSoftwareGetsNoOldStream(t *testing.T) {
	f := startStreamFleet(t, []ident.Build{"v1"}, "a", "b", "c")
	f.eventually(func() bool { return f.hosts["a"].buildCount("old") == 1 }, "a knows the build")
	f.keyValue.delete("servers/v1-two")
	begun := f.begin("a", 1)
	back := f.serveBuild("v2", "v1-one")
	f.keyValue.write("servers/v1-one", entry{
		Service: "old",
		Address: back.Listener.Addr().String(),
		Life:    "2",
		Build:   "v2",
	})
	for _, host := range []string{"a", "b", "c"} {
		f.eventually(func() bool { return slices.Contains(f.hosts[host].Pool("old").RunningBuilds(), "v2") }, host)
		f.requireRefused(host, begun)
	}
}

// Guards against a stream that goes on at a server that has come back with other software, and whose
// new entry has not reached the host yet, or can't.
func TestServerBackWithOtherSoftwareGetsNoOldStreamBeforeItsEntryArrives(t *testing.T) {
	f := startStreamFleet(t, []ident.Build{"v2"}, "a", "b")
	back := &buildServer{
		build: "v1",
	}
	back.server = httptest.NewServer(back)
	t.Cleanup(back.server.Close)
	back.announce(f, "back")
	begun := of(f.begin("a", 2), "v1")
	f.eventually(func() bool { return f.hosts["b"].buildCount("old") == 2 }, "b knows both builds")
	f.keyValue.setSilent(true)
	back.restart("v2")
	back.announce(f, "back")
	for _, isUnavailable := range []bool{false, true} {
		f.keyValue.setUnavailable("b", isUnavailable)
		for id := range begun {
			again := f.take("b", id+"-again-"+strconv.FormatBool(isUnavailable), id, 5, 10)
			require.Empty(t, again.build, "events of another build")
			again.close()
		}
	}
}

// isolate cuts a host off from its peers and from the key-value service.
func (f *fleet) isolate(host string) {
	f.keyValue.setUnavailable(host, true)
	require.NoError(f.t, f.hosts[host].peerServer.Stop())
	f.hosts[host].peers.Close()
}

// beginAt begins streams at a host until some have begun at a build, and returns those.
func (f *fleet) beginAt(host string, build ident.Build) map[string]ident.Build {
	begun := make(map[string]ident.Build)
	for n := 0; len(of(begun, build)) < 4; n++ {
		id := host + "-" + strconv.Itoa(n)
		begun[id] = f.take(host, id, "", 0, 5).build
	}
	return of(begun, build)
}

// Guards against a stream of a build that has just joined, and that goes on at another build at a host
// that is out of step and doesn't know that build.
func TestHostOutOfStepGuessesNoBuild(t *testing.T) {
	for name, isBack := range map[string]bool{"CutOff": false, "BackJustNow": true} {
		t.Run(name, func(t *testing.T) {
			f := startStreamFleet(t, []ident.Build{"v1"}, "a", "b", "c")
			f.eventually(func() bool { return f.hosts["b"].isInTouch() && f.hosts["b"].streams.loadHistory().Has("old") }, "b knows v1")
			f.isolate("b")
			f.serveBuild("v2", "v2-one")
			begun := f.beginAt("a", "v2")
			if isBack {
				f.keyValue.setUnavailable("b", false)
			}
			for id := range begun {
				askedAt := time.Now()
				again := f.take("b", id+"-again", id, 5, 10)
				require.NotEqual(t, ident.Build("v1"), again.build, "events of another build")
				require.True(t, again.status == http.StatusOK && again.build == "v2" || again.status == http.StatusServiceUnavailable, "%d", again.status)
				require.Less(t, time.Since(askedAt), time.Second)
				again.close()
			}
		})
	}
}

// Guards against a stream of the only build that a host knows, and that goes on at a server that has
// come back with another one.
func TestServerBackWithFirstOtherSoftwareGetsNoOldStream(t *testing.T) {
	f := startStreamFleet(t, nil, "a")
	back := &buildServer{
		build: "v1",
	}
	back.server = httptest.NewServer(back)
	t.Cleanup(back.server.Close)
	back.announce(f, "back")
	f.eventually(func() bool { return f.hosts["a"].isInTouch() && f.hosts["a"].streams.loadHistory().Has("old") }, "a knows v1")
	begun := f.begin("a", 1)
	f.keyValue.setSilent(true)
	back.restart("v2")
	back.announce(f, "back")
	for id := range begun {
		f.eventually(f.hosts["a"].isInTouch, "a reads the service")
		again := f.take("a", id+"-again", id, 5, 10)
		require.Empty(t, again.build, "events of another build")
		again.close()
	}
}
