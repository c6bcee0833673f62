package gateway

import (
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	tomb "gopkg.in/tomb.v2"

	"cicadaloom/internal/control/suspects"
	"cicadaloom/internal/domain/route"
	"cicadaloom/internal/standin/server"
)

const (
	// crashingPart is a part of a prompt under which servers crash, commonPart one that harmless
	// requests have too.
	crashingPart = "dead"
	commonPart   = "c"
	// crashesToCount is after how many crashes under a part the users count the requests with it,
	// lateSendsAllowed how many of those may reach servers later than contactTime after them.
	crashesToCount   = 5
	lateSendsAllowed = 3
	// crashesToRefuse is after how many crashes hosts refuse a part.
	crashesToRefuse = 3
)

// partCrashes records the crashes under parts of prompts.
type partCrashes struct {
	mu      sync.Mutex
	crashes map[string][]time.Time
	// inTouch reports whether the host that sent a request counts; nil if all do.
	inTouch func(id string) bool
	late    map[string]int
}

func newPartCrashes() *partCrashes {
	return &partCrashes{
		crashes: make(map[string][]time.Time),
		late:    make(map[string]int),
	}
}

func (c *partCrashes) record(part, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	before := c.crashes[part]
	isLate := len(before) >= crashesToCount && now.Sub(before[crashesToCount-1]) > contactTime
	if isLate && (c.inTouch == nil || c.inTouch(id)) {
		c.late[part]++
	}
	c.crashes[part] = append(before, now)
}

func (c *partCrashes) count(part string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.crashes[part])
}

// partServer crashes when it begins an answer to a request with one of the crashing parts, and comes
// back under a new id.
type partServer struct {
	renamingServer
	crashing []string
	downTime time.Duration
	log      *partCrashes
}

// servePartServers starts servers that crash under crashingPart.
func (f *fleet) servePartServers(log *partCrashes, downTime time.Duration, names ...string) {
	for _, name := range names {
		s := &partServer{
			renamingServer: renamingServer{
				fleet: f,
				name:  name,
			},
			crashing: []string{crashingPart},
			downTime: downTime,
			log:      log,
		}
		s.serve(s)
	}
}

func (s *partServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(20 * time.Millisecond) // the prefill
	parts := strings.Fields(r.Header.Get("Parts"))
	for _, part := range s.crashing {
		if slices.Contains(parts[:max(len(parts)-1, 0)], part) {
			s.log.record(part, r.Header.Get("Id"))
			s.Crash(s.downTime, s.rename)
			server.CutConnection()
		}
	}
	w.Header().Set("Id", r.Header.Get("Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	for n := 1; n <= 3; n++ {
		_, _ = io.WriteString(w, "id: "+strconv.Itoa(n)+"\ndata: x\n\n")
		w.(http.Flusher).Flush()
	}
}

// newPartFleet returns a fleet whose route streams.
func newPartFleet(t *testing.T) *fleet {
	f := newFleet(t)
	streams := configuration(1, "old")
	streams.Routes[0].Kind = route.Stream
	streams.Routes[0].Resumable = true
	f.keyValue.write("configuration", streams)
	return f
}

// askParts sends a request with a prompt of its own that has some parts, and returns its status, 0
// for none.
func (f *fleet) askParts(client *http.Client, callers, id string, parts ...string) int {
	r, err := http.NewRequest(http.MethodPost, "http://"+callers+"/x", strings.NewReader(id))
	require.NoError(f.t, err)
	r.Host = "desk.example"
	r.Header.Set("Id", id)
	r.Header.Set("Parts", strings.Join(append(parts, strconv.FormatUint(rand.Uint64(), 16)), " "))
	response, err := client.Do(r)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// Guards against a part of prompts that crashes servers for as long as requests with it come, at
// several hosts and no two alike, and against refusing what harmless requests share with them.
func TestRequestsWithPartThatCrashesServersEndOnAllHosts(t *testing.T) {
	f := newPartFleet(t)
	log := newPartCrashes()
	f.servePartServers(log, 600*time.Millisecond, "one", "two", "three", "four")
	names := []string{"a", "b", "c"}
	f.startAll(names)
	var clients tomb.Tomb
	var mu sync.Mutex
	asked, served := 0, 0
	begin := time.Now()
	for _, name := range names {
		callers := f.listen[name].Callers
		clients.Go(func() error {
			for n := 0; clients.Alive(); n++ {
				f.askParts(http.DefaultClient, callers, "crashing-"+name+strconv.Itoa(n), commonPart, crashingPart)
				time.Sleep(200 * time.Millisecond)
			}
			return nil
		})
		clients.Go(func() error {
			for n := 0; clients.Alive(); n++ {
				status := f.askParts(http.DefaultClient, callers, "harmless-"+name+strconv.Itoa(n), commonPart, "d"+strconv.Itoa(n%5))
				mu.Lock()
				if time.Since(begin) > 2*contactTime {
					asked++
					if status == http.StatusOK {
						served++
					}
				}
				mu.Unlock()
				time.Sleep(50 * time.Millisecond)
			}
			return nil
		})
	}
	time.Sleep(2*contactTime + 4*time.Second)
	clients.Kill(nil)
	require.NoError(t, clients.Wait())
	t.Logf("%d crashes, %d late; %d of %d harmless requests served", log.count(crashingPart), log.late[crashingPart], served, asked)
	require.GreaterOrEqual(t, log.count(crashingPart), 1)
	require.LessOrEqual(t, log.late[crashingPart], lateSendsAllowed)
	require.GreaterOrEqual(t, served, asked*9/10)
}

// storesRefused reports whether the key-value service has a part as refused.
func (f *fleet) storesRefused(part string) bool {
	value := f.keyValue.value("servers-ours/" + refusedPath)
	if value == "" {
		return false
	}
	refused, err := decodeSuspects([]byte(value))
	require.NoError(f.t, err)
	refused = slices.DeleteFunc(refused, func(s suspects.Suspect) bool { return len(s.Crashes) < crashesToRefuse })
	var stored suspects.Machine
	stored.Step(time.Now(), suspects.Received{
		Suspects: refused,
	})
	id, err := strconv.ParseUint(part, 16, 64)
	require.NoError(f.t, err)
	return stored.View().PartsVerdict([]suspects.Part{{
		Service: "old",
		ID:      id,
	}}) != suspects.Serve
}

// Guards against parts of prompts that crash servers once more after all hosts were restarted at once.
func TestRefusedPartsOutliveAllHosts(t *testing.T) {
	f := newPartFleet(t)
	log := newPartCrashes()
	f.servePartServers(log, 300*time.Millisecond, "one", "two", "three", "four")
	names := []string{"a", "b", "c"}
	f.startAll(names)
	f.eventually(func() bool {
		return f.askParts(http.DefaultClient, f.listen["a"].Callers, "harmless", commonPart, "d") == http.StatusOK
	}, "an answer begins")
	for n := 0; log.count(crashingPart) < crashesToCount && n < 50; n++ {
		name := names[n%len(names)]
		f.askParts(http.DefaultClient, f.listen[name].Callers, "before-"+strconv.Itoa(n), commonPart, crashingPart)
		time.Sleep(100 * time.Millisecond)
	}
	f.eventually(func() bool { return f.storesRefused(crashingPart) }, "the refused parts are stored")
	crashes := log.count(crashingPart)
	for _, name := range names {
		f.kill(name)
	}
	f.startAll(names)
	for n, name := range names {
		f.eventually(func() bool {
			return f.askParts(http.DefaultClient, f.listen[name].Callers, "harmless-"+strconv.Itoa(n), commonPart, "d") == http.StatusOK
		}, "others are served at "+name)
		for i := range 3 {
			require.Equal(t, http.StatusServiceUnavailable,
				f.askParts(http.DefaultClient, f.listen[name].Callers, "after-"+strconv.Itoa(n)+"-"+strconv.Itoa(i), commonPart, crashingPart))
		}
	}
	require.Equal(t, crashes, log.count(crashingPart))
}

// Guards against a part of prompts that crashes as many servers again after all hosts were restarted,
// since its crashes were too few to refuse it.
func TestCrashesOfPartsThatAreNotRefusedOutliveAllHosts(t *testing.T) {
	f := newPartFleet(t)
	log := newPartCrashes()
	f.servePartServers(log, 1500*time.Millisecond, "one", "two", "three", "four")
	names := []string{"a", "b", "c"}
	f.startAll(names)
	// An ask may crash two servers, since it is sent again. The next one waits until that is known.
	ask := func(phase string, n int) {
		f.askParts(http.DefaultClient, f.listen[names[n%len(names)]].Callers, phase+strconv.Itoa(n), crashingPart)
		f.eventually(func() bool { return f.storedCrashes() == log.count(crashingPart) }, "the crashes are stored")
	}
	ask("before-", 0)
	require.NotZero(t, log.count(crashingPart))
	require.Less(t, log.count(crashingPart), crashesToRefuse)
	f.killAll()
	f.startAll(names)
	for n := range 30 {
		ask("after-", n)
	}
	require.Less(t, log.count(crashingPart), crashesToCount)
}

// storedCrashes returns the most crashes of a suspect in the key-value service.
func (f *fleet) storedCrashes() int {
	value := f.keyValue.value("servers-ours/" + refusedPath)
	if value == "" {
		return 0
	}
	stored, err := decodeSuspects([]byte(value))
	require.NoError(f.t, err)
	most := 0
	for i := range stored {
		most = max(most, len(stored[i].Crashes))
	}
	return most
}
