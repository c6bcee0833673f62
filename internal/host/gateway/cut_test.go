package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"cicadaloom/internal/control/paths"
	"cicadaloom/internal/control/suspects"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/request"
	"cicadaloom/internal/domain/route"
	"cicadaloom/internal/peer/tunnelpeer"
)

// cut is how a host is cut off from all servers.
type cut int

const (
	notCut cut = iota
	// hangs: new connections are not answered, and open ones fall silent.
	hangs
	// resets: open connections are reset, and new ones refused.
	resets
	// refusesNew: open connections live on, and new ones are refused.
	refusesNew
)

// serverLinks are the links from the hosts to the servers.
type serverLinks struct {
	mu    sync.Mutex
	cuts  map[string]cut
	conns map[string][]*serverConn
	// silent are the addresses at which new connections are not answered.
	silent map[string]bool
}

// silence makes a server leave new connections unanswered, from whichever host.
func (l *serverLinks) silence(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silent = map[string]bool{address: true}
}

// serverConn is a connection from a host to a server.
type serverConn struct {
	*net.TCPConn
	mu     sync.Mutex
	silent bool
}

// Read discards what arrives on a silent connection.
func (c *serverConn) Read(buffer []byte) (int, error) {
	for {
		n, err := c.TCPConn.Read(buffer)
		c.mu.Lock()
		silent := c.silent
		c.mu.Unlock()
		if !silent || err != nil {
			return n, err
		}
	}
}

func (l *serverLinks) dialer(host string) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		l.mu.Lock()
		state := l.cuts[host]
		if l.silent[address] {
			state = hangs
		}
		l.mu.Unlock()
		switch state {
		case hangs:
			<-ctx.Done()
			return nil, ctx.Err()
		case resets, refusesNew:
			return nil, unix.ECONNREFUSED
		}
		var dialer net.Dialer
		opened, err := dialer.DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		conn := &serverConn{
			TCPConn: opened.(*net.TCPConn),
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.conns == nil {
			l.conns = make(map[string][]*serverConn)
		}
		l.conns[host] = append(l.conns[host], conn)
		return conn, nil
	}
}

// set cuts a host off from all servers, or ends that.
func (l *serverLinks) set(host string, state cut) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cuts == nil {
		l.cuts = make(map[string]cut)
	}
	l.cuts[host] = state
	for _, conn := range l.conns[host] {
		switch state {
		case hangs:
			conn.mu.Lock()
			conn.silent = true
			conn.mu.Unlock()
		case resets:
			_ = conn.Close()
		}
	}
}

// startServedFleet starts hosts and two servers, and waits until all hosts serve.
func startServedFleet(t *testing.T, names ...string) *fleet {
	f := newFleet(t)
	f.keyValue.write("configuration", configuration(1, "old"))
	f.serve("old", "one")
	f.serve("old", "two")
	for _, name := range names {
		f.start(name)
	}
	for _, name := range names {
		f.eventually(func() bool { status, _ := f.request(name); return status == http.StatusOK }, name)
	}
	return f
}

// Guards against a host that fails its callers while it is cut off from all servers, although other
// hosts that it reaches are not.
func TestHostCutOffFromServersServesItsCallers(t *testing.T) {
	for name, state := range map[string]cut{"hangs": hangs, "resets": resets, "refuses new": refusesNew} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startServedFleet(t, "a", "b", "c")
			f.links.set("a", state)
			f.links.set("b", state)
			cutAt := time.Now()
			for time.Since(cutAt) < contactTime {
				f.request("a")
				f.request("b")
			}
			for range 30 {
				for _, host := range []string{"a", "b"} {
					status, body := f.request(host)
					require.Equal(t, http.StatusOK, status, body)
				}
			}
		})
	}
}

// cutOff starts hosts of which the first is cut off from all servers, and knows it.
func cutOff(t *testing.T, handler http.Handler, names ...string) *fleet {
	f := newFleet(t)
	f.keyValue.write("configuration", configuration(1, "old"))
	for _, server := range []string{"one", "two", "three"} {
		f.serveHandler("old", server, handler)
	}
	for _, name := range names {
		f.start(name)
	}
	for _, name := range names {
		f.eventually(func() bool { status, _ := f.request(name); return status == http.StatusOK }, name)
	}
	f.links.set(names[0], resets)
	f.eventually(func() bool { f.request(names[0]); return f.hosts[names[0]].tunnels.paths.IsCutOff() }, "knows that it is cut off")
	return f
}

// slowServer answers after a time, at once for the path /x, and counts the clients that have left.
type slowServer struct {
	delay   time.Duration
	started chan struct{}
	left    chan struct{}
}

func (s *slowServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/x" {
		s.started <- struct{}{}
		select {
		case <-time.After(s.delay):
		case <-r.Context().Done():
			s.left <- struct{}{}
		}
	}
	w.Header().Set("Id", r.Header.Get("Id"))
	_, _ = io.WriteString(w, "answer")
}

func newSlowServer(delay time.Duration) *slowServer {
	return &slowServer{
		delay:   delay,
		started: make(chan struct{}, 1),
		left:    make(chan struct{}, 1),
	}
}

// Guards against requests that go on through peers after the host reaches the servers again.
func TestDetourEndsWithTheCut(t *testing.T) {
	f := cutOff(t, newSlowServer(0), "a", "b")
	f.links.set("a", notCut)
	f.eventually(func() bool { f.request("a"); return !f.hosts["a"].tunnels.paths.IsCutOff() }, "direct path")
	f.eventually(func() bool { return f.hosts["b"].tunnels.count() == 0 }, "no connection is left at the peer")
	f.eventually(func() bool {
		before := f.hosts["a"].tunnels.openedAt.Load()
		for range 10 {
			f.request("a")
		}
		return f.hosts["a"].tunnels.openedAt.Load() == before
	}, "no request takes a detour")
}

// Guards against a planned stop of a peer that cuts the requests of a host that is cut off.
func TestPlannedStopOfPeerCutsNoDetour(t *testing.T) {
	slow := newSlowServer(300 * time.Millisecond)
	f := cutOff(t, slow, "a", "b")
	answered := make(chan int, 1)
	go func() {
		status, _ := f.requestPath("a", "/slow", "")
		answered <- status
	}()
	<-slow.started
	require.Equal(t, int64(1), f.hosts["b"].tunnels.count())
	f.stop("b")
	require.Equal(t, http.StatusOK, <-answered)
}

// Guards against a server that works on for a client that has left, since a peer keeps the
// connection open.
func TestClientThatLeavesEndsItsRequestThroughPeer(t *testing.T) {
	slow := newSlowServer(10 * time.Second)
	f := cutOff(t, slow, "a", "b")
	ctx, leave := context.WithCancel(context.Background())
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.listen["a"].Callers+"/slow", nil)
	require.NoError(t, err)
	r.Host = "desk.example"
	r.Header.Set("Id", "r1")
	go func() {
		<-slow.started
		leave()
	}()
	response, err := http.DefaultClient.Do(r)
	if err == nil {
		_ = response.Body.Close()
	}
	require.Error(t, err)
	select {
	case <-slow.left:
	case <-time.After(time.Second):
		t.Fatal("the server works on")
	}
	f.eventually(func() bool { return f.hosts["b"].tunnels.count() == 0 }, "no connection is left at the peer")
}

// Guards against a host that opens connections to any address for whoever asks.
func TestPeerConnectsToKnownServersOnly(t *testing.T) {
	f := startServedFleet(t, "a")
	_, err := f.hosts["a"].OpenForPeer(context.Background(), paths.Server{
		Name:        "unknown",
		Incarnation: "1",
	})
	require.ErrorIs(t, err, tunnelpeer.ErrUnreachable)
	_, err = f.hosts["a"].OpenForPeer(context.Background(), paths.Server{
		Name:        "one",
		Incarnation: "an earlier one",
	})
	require.ErrorIs(t, err, tunnelpeer.ErrUnreachable)
}

// Guards against a host that is cut off itself and passes connections on, in a circle or to no end.
func TestHostCutOffOpensNoConnectionsForPeers(t *testing.T) {
	f := cutOff(t, newSlowServer(0), "a", "b")
	_, err := f.hosts["a"].OpenForPeer(context.Background(), paths.Server{
		Name:        "one",
		Incarnation: "1",
	})
	require.ErrorIs(t, err, tunnelpeer.ErrUnable)
}

// markCutOff makes a host take itself for cut off from servers that a peer reaches.
func (f *fleet) markCutOff(host string) {
	t := &f.hosts[host].tunnels
	for _, name := range []ident.ServerName{"x", "y", "z"} {
		t.paths.RecordDirect(paths.Server{
			Name: name,
		}, false)
	}
	t.paths.RecordProof(false)
	t.openedAt.Store(steadyNanos())
}

// Guards against a leader that keeps its office while it reaches no engine, so that no host gets
// models loaded.
func TestLeaderCutOffFromEnginesHandsOver(t *testing.T) {
	f := newFleet(t)
	f.keyValue.write("configuration", engineConfiguration())
	f.start("a")
	f.eventually(func() bool { return slices.Equal(f.leaders(), []string{"a"}) }, "first leader")
	f.start("b")
	f.eventually(func() bool { return f.isReady("b") }, "b")
	f.eventually(func() bool { f.markCutOff("a"); return slices.Equal(f.leaders(), []string{"b"}) }, "second leader")
}

// Guards against a fleet without a leader while no host reaches a server, or none is used.
func TestHostCutOffLeadsIfNoPeerReachesServers(t *testing.T) {
	f := newFleet(t)
	f.keyValue.write("configuration", engineConfiguration())
	f.start("a")
	f.markCutOff("a")
	f.hosts["a"].tunnels.openedAt.Store(0)
	f.eventually(func() bool { return slices.Equal(f.leaders(), []string{"a"}) }, "leader")
}

// Guards against requests that are refused everywhere because the host that had sent them was cut
// off from servers that went on running.
func TestHostCutOffSuspectsNoRequests(t *testing.T) {
	f := newFleet(t)
	f.keyValue.write("configuration", configuration(1, "old"))
	slow := newSlowServer(10 * time.Second)
	f.serveHandler("old", "one", slow)
	for _, name := range []string{"a", "b"} {
		f.start(name)
		f.eventually(func() bool { status, _ := f.request(name); return status == http.StatusOK }, name)
	}
	f.eventually(func() bool { return f.hosts["a"].knownHostCount.Load() == 2 }, "the peer is known")
	answered := make(chan struct{})
	go func() {
		f.requestPath("a", "/slow", "")
		close(answered)
	}()
	<-slow.started
	f.links.set("a", resets)
	<-slow.left
	time.Sleep(crashProbeDelays[0] + crashProbeDelays[1] + crashProbeDelays[2] + 2*probeTimeout)
	fingerprint := (&request.Request{
		Host: "desk.example",
		Path: "/slow",
	}).Fingerprint("")
	require.Equal(t, suspects.Serve, f.hosts["a"].Suspects().Verdict(fingerprint))
	select {
	case <-slow.started: // the repeat through the peer
		f.links.set("a", notCut)
	case <-answered:
	}
}

// Guards against servers that count as crashed because the peers asked are cut off too and don't
// know it yet.
func TestHostsCutOffTogetherSuspectNoRequests(t *testing.T) {
	f := newFleet(t)
	f.keyValue.write("configuration", configuration(1, "old"))
	slow := newSlowServer(10 * time.Second)
	f.serveHandler("old", "one", slow)
	f.serveHandler("old", "two", slow)
	names := []string{"a", "b", "c", "d", "e"}
	for _, name := range names {
		f.start(name)
	}
	for _, name := range names {
		f.eventually(func() bool { status, _ := f.request(name); return status == http.StatusOK }, name)
	}
	f.eventually(func() bool { return len(*f.hosts["a"].tunnels.hosts.Load()) == len(names) }, "a knows all hosts")
	paths := []string{"/slow/1", "/slow/2", "/slow/3", "/slow/4", "/slow/5", "/slow/6"}
	slow.started, slow.left = make(chan struct{}, 2*len(paths)), make(chan struct{}, 2*len(paths))
	for _, path := range paths {
		go f.requestPath("a", path, "")
	}
	f.eventually(func() bool { return len(slow.started) == len(paths) }, "all run")
	for _, name := range names[:4] {
		f.links.set(name, resets)
	}
	time.Sleep(crashProbeDelays[0] + crashProbeDelays[1] + crashProbeDelays[2] + 2*probeTimeout)
	for _, path := range paths {
		fingerprint := (&request.Request{
			Host: "desk.example",
			Path: path,
		}).Fingerprint("")
		require.Equal(t, suspects.Serve, f.hosts["a"].Suspects().Verdict(fingerprint), path)
	}
}

// Guards against a peer that is taken for unable, and so lost to all detours, because one server
// does not answer it.
func TestSilentServerDoesNotMakePeersUnable(t *testing.T) {
	f := cutOff(t, newSlowServer(0), "a", "b")
	f.links.silence(f.hosts["b"].addressOf(paths.Server{
		Name:        "one",
		Incarnation: "1",
	}))
	_, err := f.hosts["a"].dialThroughPeer(context.Background(), paths.Server{
		Name:        "one",
		Incarnation: "1",
	})
	require.ErrorIs(t, err, tunnelpeer.ErrUnreachable)
	conn, err := f.hosts["a"].dialThroughPeer(context.Background(), paths.Server{
		Name:        "two",
		Incarnation: "1",
	})
	require.NoError(t, err)
	require.NoError(t, conn.Close())
}

// Guards against a detour that waits for a peer that is gone while another one could help.
func TestDetourLeavesSilentPeerForAnother(t *testing.T) {
	f := cutOff(t, newSlowServer(0), "a", "b", "c")
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, silent.Close()) }()
	f.eventually(func() bool { return len(*f.hosts["a"].tunnels.hosts.Load()) == 3 }, "a knows all hosts")
	hosts := slices.Clone(*f.hosts["a"].tunnels.hosts.Load())
	for i := range hosts {
		if hosts[i].Name == "b" {
			hosts[i].Address = silent.Addr().String()
		}
	}
	f.hosts["a"].tunnels.hosts.Store(&hosts)
	for range 20 {
		ctx, cancel := context.WithTimeout(context.Background(), 400*time.Millisecond)
		conn, err := f.hosts["a"].dialThroughPeer(ctx, paths.Server{
			Name:        "one",
			Incarnation: "1",
		})
		cancel()
		require.NoError(t, err)
		require.NoError(t, conn.Close())
	}
}

// Guards against hosts that all take themselves for cut off, and have no peer left, because one
// service has gone down as a whole.
func TestServiceDownAsAWholeLeavesOthersDirect(t *testing.T) {
	f := newFleet(t)
	both := configuration(1, "old")
	other := both.Routes[0]
	other.Name = "other"
	other.Prefix = "/other/"
	other.Targets = []route.Target{{
		Service: "new",
		Weight:  1,
	}}
	both.Routes = append(both.Routes, other)
	f.keyValue.write("configuration", both)
	for _, name := range []string{"one", "two", "three"} {
		f.keyValue.write("servers/"+name, entry{
			Service: "old",
			Address: freeAddress(t),
			Life:    "1",
		})
	}
	f.serve("new", "four")
	for _, name := range []string{"a", "b"} {
		f.start(name)
		f.eventually(func() bool { status, _ := f.requestPath(name, "/other/x", ""); return status == http.StatusOK }, name)
	}
	for range 10 {
		for _, name := range []string{"a", "b"} {
			status, _ := f.request(name)
			require.NotEqual(t, http.StatusOK, status)
			status, body := f.requestPath(name, "/other/x", "")
			require.Equal(t, http.StatusOK, status, body)
			require.False(t, f.hosts[name].tunnels.paths.IsCutOff())
		}
	}
}
