package gateway

import (
	"bufio"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	tomb "gopkg.in/tomb.v2"

	"cicadaloom/internal/domain/ident"
)

const (
	streamSoakRounds = 10
	// calmTime is how long a host or a build must have been undisturbed for a stream to count.
	calmTime = time.Second
	// mixedAllowed is how many streams may hold events of two builds: the users' bound.
	mixedAllowed = 2
)

// buildServer is a server whose software may change when it starts again.
type buildServer struct {
	mu     sync.Mutex
	build  ident.Build
	life   int
	server *httptest.Server
}

func (s *buildServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	build := s.build
	s.mu.Unlock()
	streamer(build)(w, r)
}

// streamSoak is a fleet whose hosts and servers are disturbed while clients resume streams.
type streamSoak struct {
	*fleet
	names   []string
	callers map[string]string // the hosts' addresses for clients
	servers map[string]*buildServer
	mu      sync.Mutex
	// disturbedAt is when something last happened to a host or a build.
	disturbedAt map[string]time.Time
	// serving counts the servers of each build.
	serving map[ident.Build]int
	tally   streamTally
}

// streamTally counts streams. Only those at calm hosts count but for mixed.
type streamTally struct {
	tried, begun  int
	taken, goesOn int
	disordered    []string
	// mixed describes the streams with events of two builds.
	mixed map[string]string
}

func (s *streamSoak) addServer(name string, build ident.Build) {
	added := &buildServer{
		build: build,
	}
	added.server = httptest.NewServer(added)
	s.t.Cleanup(added.server.Close)
	s.servers[name] = added
	s.announce(name, added, build)
}

// announce writes the server's entry as that of a new incarnation.
func (s *buildServer) announce(f *fleet, name string) {
	s.life++
	f.keyValue.write("servers/"+name, entry{
		Service: "old",
		Address: s.server.Listener.Addr().String(),
		Life:    strconv.Itoa(s.life),
		Build:   s.build,
	})
}

// restart changes the server's software, and returns the one before.
func (s *buildServer) restart(build ident.Build) ident.Build {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.build
	s.build = build
	s.server.CloseClientConnections()
	return before
}

// announce counts a server of a build, and writes its entry.
func (s *streamSoak) announce(name string, server *buildServer, build ident.Build) {
	s.mu.Lock()
	s.serving[build]++
	s.disturbedAt[string(build)] = time.Now()
	s.mu.Unlock()
	server.announce(s.fleet, name)
}

// restart makes a server come back under its id and address with other software.
func (s *streamSoak) restart(name string, build ident.Build) {
	server := s.servers[name]
	before := server.restart(build)
	s.mu.Lock()
	s.serving[before]--
	s.disturbedAt[string(before)] = time.Now()
	s.mu.Unlock()
	s.announce(name, server, build)
}

func (s *streamSoak) disturbHost(name string, disturb func()) {
	mark := func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.disturbedAt[name] = time.Now()
	}
	mark()
	disturb()
	mark()
}

// disturb changes one server's software, and kills, stops or cuts off one host, all while what was
// done in the rounds before goes on.
func (s *streamSoak) disturb(random *rand.Rand, round int) {
	builds := []ident.Build{"v1", "v2", "v3"}
	if round > 0 {
		name := "server-" + strconv.Itoa(random.IntN(len(s.servers)))
		s.restart(name, builds[random.IntN(len(builds))])
	}
	name := s.names[random.IntN(len(s.names))]
	switch random.IntN(4) {
	case 0:
		s.disturbHost(name, func() { s.kill(name); s.start(name) })
	case 1:
		s.disturbHost(name, func() { s.stop(name); s.start(name) })
	case 2:
		s.disturbHost(name, func() {
			s.keyValue.setUnavailable(name, true)
			time.Sleep(300 * time.Millisecond)
			s.keyValue.setUnavailable(name, false)
		})
	}
	time.Sleep(time.Duration(300+random.IntN(900)) * time.Millisecond)
}

func (s *streamSoak) isCalm(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.disturbedAt[name]) > calmTime
}

// counts reports whether a stream of a build must go on: two servers run it, and have for a while.
func (s *streamSoak) counts(build ident.Build) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.serving[build] >= 2 && time.Since(s.disturbedAt[string(build)]) > calmTime
}

// streamClient begins streams and resumes them.
type streamClient struct {
	soak   *streamSoak
	name   string
	random *rand.Rand
	client http.Client
}

func (c *streamClient) run(clients *tomb.Tomb) error {
	for n := 0; clients.Alive(); n++ {
		c.stream(c.name + "-" + strconv.Itoa(n))
	}
	return nil
}

// stream begins a stream, leaves it after some events and resumes it some times, at once or
// late.
func (c *streamClient) stream(id string) {
	last := 0
	var build ident.Build
	resumes := ""
	for try := range 4 {
		host := c.soak.names[c.random.IntN(len(c.soak.names))]
		calm, counts := c.soak.isCalm(host), build != "" && c.soak.counts(build)
		got, answered := c.take(host, id+"-"+strconv.Itoa(try), resumes, last, last+1+c.random.IntN(20))
		c.record(id, resumes != "", calm && c.soak.isCalm(host), counts && c.soak.counts(build), answered, build, &got)
		if got.last > last {
			last = got.last
			if build == "" {
				build, resumes = got.build, id+"-"+strconv.Itoa(try)
			}
		}
		time.Sleep(time.Duration(c.random.IntN(400)) * time.Millisecond)
	}
}

func (c *streamClient) record(id string, taken, calm, counts, answered bool, build ident.Build, got *stream) {
	s := c.soak
	s.mu.Lock()
	defer s.mu.Unlock()
	goesOn := got.status == http.StatusOK
	switch {
	case taken && got.build != "" && got.build != build:
		s.tally.mixed[id] = "began at " + string(build) + ", goes on at " + string(got.build)
	case !answered || !calm:
	case taken && counts:
		s.tally.taken++
		if goesOn {
			s.tally.goesOn++
		}
	case !taken:
		s.tally.tried++
		if goesOn {
			s.tally.begun++
		}
	}
}

// take is as that of fleet, for a host that may be gone. The second result is false if it was.
func (c *streamClient) take(host, id, resumes string, after, until int) (stream, bool) {
	got := stream{
		last: after,
	}
	r, err := http.NewRequest(http.MethodPost, "http://"+c.soak.callers[host]+"/x", nil)
	if err != nil {
		return got, false
	}
	r.Host = "desk.example"
	r.Header.Set("Id", id)
	if resumes != "" {
		r.Header.Set("Began", resumes)
		r.Header.Set("After", strconv.Itoa(after))
	}
	response, err := c.client.Do(r)
	if err != nil {
		return got, false
	}
	defer response.Body.Close()
	got.status = response.StatusCode
	lines := bufio.NewScanner(response.Body)
	for got.status == http.StatusOK && got.last < until && lines.Scan() {
		if text, found := strings.CutPrefix(lines.Text(), "id: "); found && text != strconv.Itoa(got.last+1) {
			c.soak.mu.Lock()
			c.soak.tally.disordered = append(c.soak.tally.disordered, id+" got event "+text+" after "+strconv.Itoa(got.last))
			c.soak.mu.Unlock()
		}
		text, found := strings.CutPrefix(lines.Text(), "data: ")
		if !found {
			continue
		}
		got.last++
		if got.build != "" && got.build != ident.Build(text) {
			c.soak.mu.Lock()
			c.soak.tally.mixed[id[:strings.LastIndex(id, "-")]] = "has events of two builds in one answer"
			c.soak.mu.Unlock()
		}
		got.build = ident.Build(text)
	}
	return got, true
}

// Guards against streams that mix builds or can't go on, while servers change their software and
// hosts are killed, stopped, started and cut off from the store in overlapping series.
func TestSoakOfStreamsOverBuilds(t *testing.T) {
	playSoak(t, soakStreams)
}

func soakStreams(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 0))
	s := &streamSoak{
		fleet:       startStreamFleet(t, nil, "a", "b", "c", "d", "e"),
		names:       []string{"a", "b", "c", "d", "e"},
		servers:     make(map[string]*buildServer),
		disturbedAt: make(map[string]time.Time),
		serving:     make(map[ident.Build]int),
		callers:     make(map[string]string),
		tally: streamTally{
			mixed: make(map[string]string),
		},
	}
	for _, name := range s.names {
		s.callers[name] = s.listen[name].Callers
	}
	for n := range 9 {
		s.addServer("server-"+strconv.Itoa(n), []ident.Build{"v1", "v2", "v3"}[n%3])
	}
	var clients tomb.Tomb
	for n := range 12 {
		transport := &http.Transport{}
		t.Cleanup(transport.CloseIdleConnections)
		client := &streamClient{
			soak:   s,
			name:   "client-" + strconv.Itoa(n),
			random: rand.New(rand.NewPCG(seed, uint64(n)+1)),
			client: http.Client{
				Transport: transport,
			},
		}
		clients.Go(func() error { return client.run(&clients) })
	}
	for round := range streamSoakRounds {
		s.disturb(random, round)
	}
	clients.Kill(nil)
	require.NoError(t, clients.Wait())
	tally := &s.tally
	t.Logf("begun %d of %d, resumed %d of %d, mixed %d", tally.begun, tally.tried, tally.goesOn, tally.taken, len(tally.mixed))
	require.Empty(t, tally.disordered)
	require.LessOrEqual(t, len(tally.mixed), mixedAllowed, tally.mixed)
	require.NotZero(t, tally.taken)
	require.GreaterOrEqual(t, 2*tally.goesOn*tally.tried, tally.taken*tally.begun, "half of the share of new streams")
}
