package gateway

import (
	"maps"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	tomb "gopkg.in/tomb.v2"

	"cicadaloom/internal/domain/ident"
)

const (
	// buildCrashingPart is a part under which servers of one build crash.
	buildCrashingPart = "beef"
	partSoakTime      = 14 * time.Second
)

// partSoak follows which hosts send requests, and how many harmless ones are served.
type partSoak struct {
	mu        sync.Mutex
	hosts     map[string]string
	startedAt map[string]time.Time
	// asked and served count harmless requests at hosts in touch, later than twice contactTime after
	// the soak's start.
	asked, served int
}

func (s *partSoak) recordStart(host string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.startedAt[host] = time.Now()
}

func (s *partSoak) recordSend(id, host string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts[id] = host
}

func (s *partSoak) isInTouch(host string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.startedAt[host]) > contactTime
}

func (s *partSoak) recordHarmless(status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asked++
	if status == http.StatusOK {
		s.served++
	}
}

// Guards against parts of prompts that go on crashing servers, and against refusing what harmless
// requests share with them, while two such parts come at once, one crashes a single build, and hosts
// are killed or stopped and started.
func TestSoakOfPartsThatCrashServers(t *testing.T) {
	playSoak(t, soakParts)
}

func soakParts(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 0))
	f := newPartFleet(t)
	soak := &partSoak{
		hosts:     make(map[string]string),
		startedAt: make(map[string]time.Time),
	}
	log := newPartCrashes()
	log.inTouch = func(id string) bool {
		soak.mu.Lock()
		host := soak.hosts[id]
		soak.mu.Unlock()
		return soak.isInTouch(host)
	}
	for number, name := range []string{"one", "two", "three", "four", "five", "six"} {
		s := &partServer{
			renamingServer: renamingServer{
				fleet: f,
				name:  name,
				build: "v1",
			},
			crashing: []string{crashingPart},
			downTime: time.Duration(300+random.IntN(900)) * time.Millisecond,
			log:      log,
		}
		if number%3 == 0 {
			s.build = "v2"
			s.crashing = append(s.crashing, buildCrashingPart)
		}
		s.serve(s)
	}
	names := []string{"a", "b", "c", "d", "e", "g", "h"}
	f.startAll(names)
	for _, name := range names {
		soak.recordStart(name)
	}
	begin := time.Now()
	listen := maps.Clone(f.listen)
	var clients tomb.Tomb
	for number := range 6 {
		client := addressedClient(t, number+1)
		chance := rand.New(rand.NewPCG(seed, uint64(number)+1))
		clients.Go(func() error {
			for clients.Alive() {
				host := names[chance.IntN(len(names))]
				soak.sendOne(f, client, chance, host, listen[host].Callers, begin)
				time.Sleep(time.Duration(20+chance.IntN(80)) * time.Millisecond)
			}
			return nil
		})
	}
	for end := begin.Add(partSoakTime); time.Now().Before(end); {
		time.Sleep(time.Duration(500+random.IntN(2000)) * time.Millisecond)
		name := names[random.IntN(len(names))]
		if random.IntN(3) == 0 {
			f.stop(name)
		} else {
			f.kill(name)
		}
		soak.recordStart(name)
		f.start(name)
	}
	clients.Kill(nil)
	require.NoError(t, clients.Wait())
	t.Logf("%d and %d crashes, %d and %d late; %d of %d harmless requests served", log.count(crashingPart), log.count(buildCrashingPart),
		log.late[crashingPart], log.late[buildCrashingPart], soak.served, soak.asked)
	require.GreaterOrEqual(t, log.count(crashingPart), 1)
	require.LessOrEqual(t, log.late[crashingPart], lateSendsAllowed)
	require.LessOrEqual(t, log.late[buildCrashingPart], lateSendsAllowed)
	require.GreaterOrEqual(t, soak.asked, 20)
	require.GreaterOrEqual(t, 2*soak.served, soak.asked)
}

// sendOne sends one request: one in six has a part that crashes servers.
func (s *partSoak) sendOne(f *fleet, client *http.Client, chance *rand.Rand, host, callers string, begin time.Time) {
	id := string(ident.NewRequestID())
	s.recordSend(id, host)
	first := strconv.Itoa(1 + chance.IntN(2))
	switch chance.IntN(12) {
	case 0:
		f.askParts(client, callers, id, first, crashingPart)
	case 1:
		f.askParts(client, callers, id, first, buildCrashingPart)
	default:
		counts := s.isInTouch(host) && time.Since(begin) > 2*contactTime
		status := f.askParts(client, callers, id, first, "d"+strconv.Itoa(chance.IntN(20)))
		if counts && status != 0 {
			s.recordHarmless(status)
		}
	}
}
