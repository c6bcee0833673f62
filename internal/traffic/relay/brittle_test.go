package relay

import (
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	tomb "gopkg.in/tomb.v2"
)

// refusalLog counts refusals by instant.
type refusalLog struct {
	mu sync.Mutex
	at []time.Time
}

func (l *refusalLog) add() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.at = append(l.at, time.Now())
}

// mostIn returns the largest number of refusals in any window.
func (l *refusalLog) mostIn(window time.Duration) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	most, first := 0, 0
	for i, at := range l.at {
		for at.Sub(l.at[first]) >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Guards against a server that falls over because hosts make it turn away more requests than it
// says that it bears.
func TestBrittleServerTurnsAwayNoMoreThanItBears(t *testing.T) {
	const bears = 4
	w := newTestEnv(t, safeRoute())
	var refusals refusalLog
	w.serve("brittle", func(to http.ResponseWriter, _ *http.Request) {
		to.Header().Set("Brittle", strconv.Itoa(bears))
		to.Header().Set("Not-Run", "1")
		refusals.add()
		time.Sleep(5 * time.Millisecond)
		to.WriteHeader(http.StatusServiceUnavailable)
	})
	w.serve("spare", answerWith(http.StatusOK, "answer"))
	for refusals.mostIn(time.Second) == 0 { // it is known to be brittle from its first answer on
		w.ask(http.MethodGet, "first", nil)
	}
	time.Sleep(1100 * time.Millisecond)
	var clients tomb.Tomb
	for i := range 24 {
		clients.Go(func() error {
			for n := 0; clients.Alive(); n++ {
				w.ask(http.MethodGet, strconv.Itoa(i)+"-"+strconv.Itoa(n), nil)
			}
			return nil
		})
	}
	time.Sleep(3 * time.Second)
	clients.Kill(nil)
	require.NoError(t, clients.Wait())
	require.LessOrEqual(t, refusals.mostIn(time.Second), bears)
}
