package gateway

import (
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadaloom/internal/domain/route"
)

const (
	// crowdPause is between two requests of the crowd, crowdAnswerTime how long a server takes for
	// each: 40 are in flight on the mean.
	crowdPause      = 10 * time.Millisecond
	crowdAnswerTime = 400 * time.Millisecond
	crowdTime       = 4 * time.Second
	// crowdConnections is what each of three servers accepts: the even share of seven hosts is 4.
	crowdConnections = 28
)

// crowdServer answers after a while and says how many requests it runs.
type crowdServer struct {
	running atomic.Int64
}

func (s *crowdServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	running := s.running.Add(1)
	defer s.running.Add(-1)
	time.Sleep(crowdAnswerTime)
	w.Header().Set("Id", r.Header.Get("Id"))
	w.Header().Set("Running", strconv.FormatInt(running, 10))
	_, _ = io.WriteString(w, "answer")
}

// crowd sends requests to hosts in turn, each over a connection of its own, and returns which share
// of them was served.
func crowd(t *testing.T, callers ...string) float64 {
	client := http.Client{
		Transport: &http.Transport{
			DisableKeepAlives: true,
		},
	}
	var clients sync.WaitGroup
	var served atomic.Int64
	sent := 0
	for end := time.Now().Add(crowdTime); time.Now().Before(end); sent++ {
		address := callers[sent%len(callers)]
		clients.Go(func() {
			r, err := http.NewRequest(http.MethodGet, "http://"+address+"/x", nil)
			if err != nil {
				return
			}
			r.Host = "desk.example"
			r.Header.Set("Id", "crowd")
			response, err := client.Do(r)
			if err != nil {
				return
			}
			defer response.Body.Close()
			if _, err := io.ReadAll(response.Body); err == nil && response.StatusCode == http.StatusOK {
				served.Add(1)
			}
		})
		time.Sleep(crowdPause)
	}
	clients.Wait()
	t.Logf("%d of %d served", served.Load(), sent)
	return float64(served.Load()) / float64(sent)
}

// Guards against a host to which all clients come, or come once another one is gone, and that serves
// only what an even load would be.
func TestCrowdAtOneHostIsServed(t *testing.T) {
	f := newFleet(t)
	settings := configuration(1, "old")
	settings.Services["old"] = route.Service{
		Name:           "old",
		MaxConnections: crowdConnections,
	}
	settings.Routes[0].Timeout = time.Second
	f.keyValue.write("configuration", settings)
	for _, name := range []string{"one", "two", "three"} {
		server := httptest.NewServer(&crowdServer{})
		t.Cleanup(server.Close)
		f.keyValue.write("servers/"+name, entry{
			Service: "old",
			Address: server.Listener.Addr().String(),
			Life:    "1",
		})
	}
	names := []string{"a", "b", "c", "d", "e", "g", "h"}
	f.startAll(names)
	listen := maps.Clone(f.listen)
	var all []string
	for _, name := range names {
		all = append(all, listen[name].Callers)
	}
	usual := crowd(t, all...)
	require.GreaterOrEqual(t, crowd(t, listen["a"].Callers), 0.75*usual)
	f.kill("a")
	require.GreaterOrEqual(t, crowd(t, listen["b"].Callers), 0.75*usual)
}
