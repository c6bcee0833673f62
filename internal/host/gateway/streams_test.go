package gateway

import (
	"bufio"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

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

// take begins a stream, or takes one up, and reads the events up to a number.
func (f *fleet) take(host, id, resumes string, after, until int) stream {
	r, err := http.NewRequest(http.MethodPost, "http://"+f.listen[host].Callers+"/x", nil)
	require.NoError(f.t, err)
	r.Host = "desk.example"
	r.Header.Set("Id", id)
	if resumes != "" {
		r.Header.Set("Resumes", resumes)
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

// Guards against a stream that its client takes up at another host, and that goes on at another
// build of the software.
func TestClientsStreamGoesOnAtItsBuild(t *testing.T) {
	f := startStreamFleet(t, []ident.Build{"v1", "v2"}, "a", "b", "c")
	for n := range 12 {
		id := "begun-" + strconv.Itoa(n)
		begun := f.take("a", id, "", 0, 5)
		require.Equal(t, http.StatusOK, begun.status)
		time.Sleep(500 * time.Millisecond)
		begun.close()
		for try, host := range []string{"b", "c", "a"} {
			again := f.take(host, id+"-"+strconv.Itoa(try), id, begun.last, begun.last+5)
			require.Equal(t, http.StatusOK, again.status, host)
			require.Equal(t, begun.build, again.build, host)
			again.close()
		}
	}
}
