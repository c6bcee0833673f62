package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// applyDeadline is the time within which a configuration must be in force at a host that some
// peers or the key-value service still answer.
const applyDeadline = 3 * time.Second

// controlHang blocks a host's control goroutine until a channel is closed: its peers get no reply.
type controlHang struct {
	until <-chan struct{}
}

func (e controlHang) apply(time.Time, *control) {
	<-e.until
}

// Guards against a host that learns of a change too late since other peers hang, one after the
// other.
func TestPeersThatHangDoNotDelayChanges(t *testing.T) {
	f := newFleet(t)
	f.keyValue.write("configuration", configuration(4, "old"))
	names := []string{"a", "b", "c", "d", "e", "f", "g"}
	f.startAll(names)
	f.eventually(func() bool { return len(f.leaders()) == 1 }, "one leads")
	leader := f.leaders()[0]
	others := make([]string, 0, len(names))
	for _, name := range names {
		if name != leader {
			others = append(others, name)
		}
	}
	cutOff, hanging := others[0], append([]string{leader}, others[2:]...)
	until := make(chan struct{})
	defer close(until)
	for _, name := range hanging {
		f.hosts[name].post(controlHang{
			until: until,
		})
	}
	f.keyValue.setUnavailable(cutOff, true)
	f.keyValue.write("configuration", configuration(9, "new"))
	require.Eventually(t, func() bool { return f.hosts[cutOff].Routes().Configuration().Version == 9 }, applyDeadline, 10*time.Millisecond)
}

// Guards against a host that says that there is no route by a configuration which it can't tell to
// be in force.
func TestHostOutOfTouchDoesNotSayThatThereIsNoRoute(t *testing.T) {
	f := newFleet(t)
	withoutRoutes := configuration(4, "old")
	withoutRoutes.Routes = nil
	f.keyValue.write("configuration", withoutRoutes)
	f.startAll([]string{"a"})
	status, _ := f.request("a")
	require.Equal(t, http.StatusNotFound, status)
	f.keyValue.setUnavailable("a", true)
	f.eventually(func() bool { return !f.hosts["a"].isInTouch() }, "a is out of touch")
	status, _ = f.request("a")
	require.Equal(t, http.StatusServiceUnavailable, status)
	f.keyValue.setUnavailable("a", false)
	f.keyValue.write("configuration", configuration(5, "old"))
	f.eventually(func() bool { return f.hosts["a"].Routes().Configuration().Version == 5 }, "a knows the route")
}

// Guards against a request for a route that has just been added, which comes before the change does.
func TestRouteIsAwaitedAtAHostThatLearnsOfItLater(t *testing.T) {
	f := newFleet(t)
	f.serve("old", "one")
	withoutRoutes := configuration(4, "old")
	withoutRoutes.Routes = nil
	f.keyValue.write("configuration", withoutRoutes)
	f.startAll([]string{"a"})
	bodies := make(chan string)
	go func() {
		_, body := f.request("a")
		bodies <- body
	}()
	f.eventually(func() bool { return f.hosts["a"].handler.InFlight() == 1 }, "the request waits")
	f.keyValue.write("configuration", configuration(5, "old"))
	require.Equal(t, "one", <-bodies)
}
