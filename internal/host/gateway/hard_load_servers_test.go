package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/stretchr/testify/require"

	"cicadaloom/internal/standin/server"
)

const (
	pacedSlots = 4
	// paceTime is for how long a paced server keeps a level, spellTime how long a spell is.
	paceTime   = 50 * time.Millisecond
	spellTime  = 400 * time.Millisecond
	spellPace  = 2.5
	longAnswer = 1 << 20
	chatEvents = 8
)

// paceLevels are the levels of paced servers.
var paceLevels = []float64{0.6, 1, 1.6}

// ending is how a server ends its answers.
type ending int

const (
	whole ending = iota
	endlessHead
	endlessBody
)

// pacedServer is a server that names its load and a pace that changes many times a second, takes
// as long as that, and refuses what exceeds its slots.
type pacedServer struct {
	server.Server
	fleet *fleet
	name  string
	entry entry
	seed  uint64
	// work is how long an answer takes at a usual pace.
	work time.Duration
	runs *runCounter

	mu      sync.Mutex
	life    int
	running int
	ending  ending
}

// serve starts the server and writes its first entry.
func (s *pacedServer) serve() {
	address, err := s.Start("127.0.0.1:0", s)
	require.NoError(s.fleet.t, err)
	s.fleet.t.Cleanup(func() { require.NoError(s.fleet.t, s.Stop()) })
	s.entry.Address = address
	s.announce()
}

// announce writes the entry of a new incarnation. One of an engine has a new name: its memory is empty.
func (s *pacedServer) announce() {
	s.mu.Lock()
	before := s.name + "-" + strconv.Itoa(s.life)
	s.life++
	written := s.entry
	written.Life = strconv.Itoa(s.life)
	after := s.name + "-" + written.Life
	s.mu.Unlock()
	if written.Service != "models" {
		s.fleet.keyValue.write("servers/"+s.name, written)
		return
	}
	s.fleet.keyValue.delete("servers/" + before)
	s.fleet.keyValue.write("servers/"+after, written)
}

// paceAt is the pace at an instant: a tenth of the time is a spell.
func (s *pacedServer) paceAt(now time.Time) float64 {
	level := rand.New(rand.NewPCG(s.seed, uint64(now.UnixNano()/int64(paceTime)))).IntN(len(paceLevels))
	if rand.New(rand.NewPCG(s.seed, uint64(now.UnixNano()/int64(spellTime)))).IntN(10) == 0 {
		return spellPace * paceLevels[level]
	}
	return paceLevels[level]
}

func (s *pacedServer) setEnding(e ending) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ending = e
}

// enter takes a slot, if there is one.
func (s *pacedServer) enter() (int, ending, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running >= pacedSlots {
		return s.running, whole, false
	}
	s.running++
	return s.running, s.ending, true
}

func (s *pacedServer) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

func (s *pacedServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Id")
	current := s.paceAt(time.Now())
	running, ends, hasRoom := s.enter()
	header := w.Header()
	header.Set("Id", id)
	header.Set("Running", strconv.Itoa(running))
	header.Set("Slots", strconv.Itoa(pacedSlots))
	header.Set("Pace", strconv.FormatFloat(current, 'f', 2, 64))
	if !hasRoom {
		header.Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.leave()
	s.runs.record(id)
	work := time.Duration(current * float64(s.work))
	switch {
	case ends == endlessHead:
		s.sendHeadWithoutEnd(w)
	case ends == endlessBody:
		s.sendBodyWithoutEnd(w)
	case strings.HasPrefix(r.URL.Path, chatPrefix):
		s.sendEvents(r.Context(), w, id, work)
	case server.Pause(r.Context(), work):
		_, _ = io.WriteString(w, answerOf(s.entry.Service, r.URL.Path, id))
	}
}

// answerOf is the whole answer to a request.
func answerOf(service, path, id string) string {
	answer := service + " " + id
	if strings.HasPrefix(path, longPrefix) {
		return strings.Repeat(answer+"\n", longAnswer/len(answer))
	}
	return answer
}

// sendEvents sends a stream; chatOf is all of it.
func (s *pacedServer) sendEvents(ctx context.Context, w http.ResponseWriter, id string, work time.Duration) {
	w.Header().Set("Content-Type", "text/event-stream")
	for n := range chatEvents {
		if !server.Pause(ctx, work/chatEvents) {
			return
		}
		_, _ = io.WriteString(w, eventOf(n, id))
		_ = http.NewResponseController(w).Flush()
	}
}

func eventOf(n int, id string) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", n+1, id)
}

func chatOf(id string) string {
	var all strings.Builder
	for n := range chatEvents {
		all.WriteString(eventOf(n, id))
	}
	return all.String()
}

// sendHeadWithoutEnd sends header lines until the host has had enough.
func (s *pacedServer) sendHeadWithoutEnd(w http.ResponseWriter) {
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return // the host has left
	}
	defer conn.Close()
	_, err = buffered.WriteString("HTTP/1.1 200 OK\r\n")
	for line := "Filler: " + strings.Repeat("x", 1000) + "\r\n"; err == nil && s.isRunning(); {
		err = writeFlushed(buffered, line)
	}
}

func writeFlushed(to *bufio.ReadWriter, line string) error {
	if _, err := to.WriteString(line); err != nil {
		return err
	}
	return to.Flush()
}

func (s *pacedServer) sendBodyWithoutEnd(w http.ResponseWriter) {
	part := make([]byte, 64<<10)
	for s.isRunning() {
		if _, err := w.Write(part); err != nil {
			return // the host has had enough
		}
	}
}

func (s *pacedServer) isRunning() bool {
	select {
	case <-s.Dying():
		return false
	default:
		return true
	}
}

// record counts a run, for servers that answer in another way than this one.
func (c *runCounter) record(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[id]++
}
