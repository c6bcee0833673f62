package gateway

import (
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	tomb "gopkg.in/tomb.v2"

	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/standin/server"
)

const (
	// lateCrashesAllowed is how often a request may reach servers later than contactTime after it
	// has crashed the third: the users' bound.
	lateCrashesAllowed = 3
	// crashSoakTime is longer than contactTime and several restarts of servers.
	crashSoakTime = 12 * time.Second
)

// crashPlay follows which hosts send requests that crash servers. A host that has started within
// contactTime may lack earlier crashes.
type crashPlay struct {
	mu sync.Mutex
	// hosts maps to the host of each request that crashes servers, startedAt when a host was last
	// started.
	hosts     map[string]string
	startedAt map[string]time.Time
	crashes   int
	third     time.Time
	late      int
}

func (p *crashPlay) recordSend(id, host string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts[id] = host
}

func (p *crashPlay) recordStart(host string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.startedAt[host] = time.Now()
}

func (p *crashPlay) recordCrash(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.crashes++
	if p.crashes == 3 {
		p.third = now
	}
	inTouch := now.Sub(p.startedAt[p.hosts[id]]) > contactTime
	if p.crashes > 3 && now.Sub(p.third) > contactTime && inTouch {
		p.late++
	}
}

// renamingServer is a server that comes back under a new id at its address.
type renamingServer struct {
	server.Server
	fleet   *fleet
	name    string
	build   ident.Build
	address string

	mu    sync.Mutex
	names int
}

// serve starts the server and writes its first entry.
func (s *renamingServer) serve(handler http.Handler) {
	address, err := s.Start("127.0.0.1:0", handler)
	require.NoError(s.fleet.t, err)
	s.fleet.t.Cleanup(func() { require.NoError(s.fleet.t, s.Stop()) })
	s.address = address
	s.rename()
}

func (s *renamingServer) rename() {
	s.mu.Lock()
	before := s.name + "-" + strconv.Itoa(s.names)
	s.names++
	after := s.name + "-" + strconv.Itoa(s.names)
	s.mu.Unlock()
	s.fleet.keyValue.delete("servers/" + before)
	s.fleet.keyValue.write("servers/"+after, entry{
		Service: "old",
		Address: s.address,
		Life:    "1",
		Build:   s.build,
	})
}

// pathServer crashes when it runs a request to crashingPath.
type pathServer struct {
	renamingServer
	play *crashPlay
}

func (s *pathServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != crashingPath {
		w.Header().Set("Id", r.Header.Get("Id"))
		_, _ = io.WriteString(w, s.address)
		return
	}
	s.play.recordCrash(r.Header.Get("Id"))
	s.Crash(s.downTime(), s.rename)
	server.CutConnection()
}

// downTime is how long the server is down after this crash.
func (s *pathServer) downTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(300*(1+s.names%4)) * time.Millisecond
}

// addressedClient sends requests from a loopback address of its own.
func addressedClient(t *testing.T, number int) *http.Client {
	dialer := net.Dialer{
		LocalAddr: &net.TCPAddr{
			IP: net.IPv4(127, 0, 2, byte(number)),
		},
	}
	transport := &http.Transport{
		DialContext: dialer.DialContext,
	}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{
		Transport: transport,
		Timeout:   3 * time.Second,
	}
}

// Guards against a request without a body that goes on crashing servers, while its copies come from
// many addresses at hosts of all regions, servers come back under new ids, and hosts are restarted.
func TestSoakOfRequestsThatCrashServers(t *testing.T) {
	playSoak(t, soakCrashes)
}

func soakCrashes(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 0))
	f := newFleet(t)
	f.keyValue.write("configuration", configuration(1, "old"))
	play := &crashPlay{
		hosts:     make(map[string]string),
		startedAt: make(map[string]time.Time),
	}
	for _, name := range []string{"one", "two", "three"} {
		s := &pathServer{
			renamingServer: renamingServer{
				fleet: f,
				name:  name,
			},
			play: play,
		}
		s.serve(s)
	}
	names := []string{"a", "b", "c", "d", "e", "g", "h"}
	f.startAll(names)
	listen := maps.Clone(f.listen)
	var clients tomb.Tomb
	for number := range 6 {
		client := addressedClient(t, number+1)
		chance := rand.New(rand.NewPCG(seed, uint64(number)+1))
		clients.Go(func() error {
			for n := 0; clients.Alive(); n++ {
				path := "/harmless/" + strconv.Itoa(number)
				if n%3 == 0 {
					path = crashingPath
				}
				host := names[chance.IntN(len(names))]
				id := string(ident.NewRequestID())
				if path == crashingPath {
					play.recordSend(id, host)
				}
				sendFrom(t, client, listen[host].Callers, path, id)
				time.Sleep(time.Duration(50+chance.IntN(200)) * time.Millisecond)
			}
			return nil
		})
	}
	for end := time.Now().Add(crashSoakTime); time.Now().Before(end); {
		time.Sleep(time.Duration(500+random.IntN(2000)) * time.Millisecond)
		name := names[random.IntN(len(names))]
		f.kill(name)
		play.recordStart(name)
		f.start(name)
	}
	clients.Kill(nil)
	require.NoError(t, clients.Wait())
	t.Logf("%d crashes, %d of them late", play.crashes, play.late)
	require.GreaterOrEqual(t, play.crashes, 3)
	require.LessOrEqual(t, play.late, lateCrashesAllowed)
	for _, name := range names {
		f.eventually(func() bool { status, _ := f.requestPath(name, "/harmless/0", ""); return status == http.StatusOK }, "others are served at "+name)
	}
}

// sendFrom sends a request, whose answer doesn't matter, to a host that may be gone.
func sendFrom(t *testing.T, client *http.Client, address, path, id string) {
	r, err := http.NewRequest(http.MethodGet, "http://"+address+path, nil)
	require.NoError(t, err)
	r.Host = "desk.example"
	r.Header.Set("Id", id)
	response, err := client.Do(r)
	if err == nil {
		_ = response.Body.Close() // an error means that the host is gone
	}
}
