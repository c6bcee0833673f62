package gateway

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	tomb "gopkg.in/tomb.v2"
)

// limitCounter is a server that names a request limit, and counts what it gets from hosts that
// have passed its limit on for some time.
type limitCounter struct {
	mu sync.Mutex
	// firstAnswerAt is when each process of a host first got an answer.
	firstAnswerAt map[string]time.Time
	counted       []time.Time
}

// noticeTime is how long after its first answer a process's requests count.
const noticeTime = 500 * time.Millisecond

func (c *limitCounter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	process := r.Header.Get("Process")
	now := time.Now()
	c.mu.Lock()
	firstAnswerAt, hasAnswer := c.firstAnswerAt[process]
	if !hasAnswer {
		c.firstAnswerAt[process] = now
	}
	if hasAnswer && now.Sub(firstAnswerAt) >= noticeTime {
		c.counted = append(c.counted, now)
	}
	c.mu.Unlock()
	w.Header().Set("Id", r.Header.Get("Id"))
	w.Header().Set("Limit", "4")
	_, _ = io.WriteString(w, "limited")
}

// most returns the largest number of requests that count in any window.
func (c *limitCounter) most(window time.Duration) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	most, first := 0, 0
	for last := range c.counted {
		for c.counted[last].Sub(c.counted[first]) >= window {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// Guards against a request limit that is exceeded while hosts, issuers among them, are stopped
// and started in series, some of them cut off from the key-value service.
func TestRequestLimitHoldsThroughRestarts(t *testing.T) {
	const window = 2 * time.Second
	f := newFleet(t)
	f.keyValue.write("configuration", configuration(1, "old"))
	counter := &limitCounter{
		firstAnswerAt: make(map[string]time.Time),
	}
	f.serveHandler("old", "limited", counter)
	f.serve("old", "spare")
	names := []string{"a", "b", "c", "d"}
	for _, name := range names {
		f.start(name)
	}
	for _, name := range names {
		f.eventually(func() bool { return f.isReady(name) }, name)
	}
	var starts sync.Map
	var clients tomb.Tomb
	for _, name := range names {
		callers := f.listen[name].Callers
		for range 2 {
			clients.Go(func() error {
				for clients.Alive() {
					count, _ := starts.LoadOrStore(name, 0)
					sendNamed(callers, name+strconv.Itoa(count.(int)))
					time.Sleep(10 * time.Millisecond)
				}
				return nil
			})
		}
	}
	for round := range 6 {
		name := names[round%len(names)]
		f.stop(name)
		starts.Store(name, round+1)
		f.start(name)
		f.keyValue.setUnavailable(names[(round+1)%len(names)], round%2 == 0)
		time.Sleep(time.Second)
	}
	clients.Kill(nil)
	require.NoError(t, clients.Wait())
	require.LessOrEqual(t, counter.most(window), int(1.5*4*window.Seconds())+5)

	require.NotZero(t, counter.most(window))
}

// sendNamed sends a request through a host and names the host's process in it.
func sendNamed(address, process string) {
	request, err := http.NewRequest(http.MethodGet, "http://"+address+"/x", nil)
	if err != nil {
		return
	}
	request.Host = "desk.example"
	request.Header.Set("Id", "r1")
	request.Header.Set("Process", process)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return // the host is stopped
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
}
