package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/peer/gatewaypeer"
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

// lastAsked are the peers of a host that is cut off: then they hang, but for the one that the host
// asks last for what it may have missed.
type lastAsked struct {
	mu     sync.Mutex
	isCut  bool
	names  []ident.HostID
	asked  map[ident.HostID]bool
	newest gatewaypeer.Message
	// gossiped gets a value when a message comes that isn't sent to the leader as such.
	gossiped chan struct{}
}

// cut makes the peers hang from now on.
func (p *lastAsked) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isCut = true
}

// answer returns the reply of a peer, and false if it hangs. The first peer is the leader.
func (p *lastAsked) answer(peer ident.HostID, received *gatewaypeer.Message) (gatewaypeer.Message, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if isForLeader := received.WantsInventory; !isForLeader {
		select {
		case p.gossiped <- struct{}{}:
		default:
		}
	}
	if !p.isCut {
		return gatewaypeer.Message{
			Host: peer,
		}, true
	}
	if peer == p.names[0] {
		return gatewaypeer.Message{}, false
	}
	p.asked[peer] = true
	return p.newest, len(p.asked) == len(p.names)-1
}

// lastAskedPeer is one of them.
type lastAskedPeer struct {
	gatewaypeer.Handler
	*lastAsked
	name ident.HostID
}

// Exchange implements gatewaypeer.Handler.
func (p *lastAskedPeer) Exchange(ctx context.Context, received gatewaypeer.Message) (gatewaypeer.Message, error) {
	if reply, answers := p.answer(p.name, &received); answers {
		return reply, nil
	}
	<-ctx.Done()
	return gatewaypeer.Message{}, ctx.Err()
}

// startLastAsked starts peers, writes their entries and makes the first of them the leader.
func (f *fleet) startLastAsked(names []ident.HostID) *lastAsked {
	text, err := json.Marshal(configuration(9, "new"))
	require.NoError(f.t, err)
	peers := &lastAsked{
		names: names,
		asked: make(map[ident.HostID]bool),
		newest: gatewaypeer.Message{
			Host:                 "peer",
			ConfigurationVersion: 9,
			PackedConfiguration:  compress(text),
		},
		gossiped: make(chan struct{}, 1),
	}
	for _, name := range names {
		var server gatewaypeer.Server
		address, err := server.Start(freeAddress(f.t), &lastAskedPeer{
			lastAsked: peers,
			name:      name,
		})
		require.NoError(f.t, err)
		f.t.Cleanup(func() { _ = server.Stop() })
		f.keyValue.write("servers-ours/"+hostsPath+"north-1/"+string(name), hostEntry{
			Peers:      address,
			DataCentre: "north-1",
			Region:     "north",
		})
	}
	f.keyValue.mu.Lock()
	defer f.keyValue.mu.Unlock()
	f.keyValue.revision++
	f.keyValue.put("servers-ours/"+leaderPath, []byte(names[0]), 0)
	return peers
}

// cutOffWhenNextMessagesAreFar starts a host with such peers and lets these hang when its next
// messages, to a random peer and to the leader, are almost a whole interval away.
func (f *fleet) cutOffWhenNextMessagesAreFar(name string) *lastAsked {
	f.keyValue.write("configuration", configuration(4, "old"))
	names := make([]ident.HostID, smallRegionHosts-1)
	for i := range names {
		names[i] = ident.HostID("peer-" + strconv.Itoa(i))
	}
	peers := f.startLastAsked(names)
	f.start(name)
	host := f.hosts[name]
	f.eventually(func() bool { return host.knownHostCount.Load() == smallRegionHosts }, "all are known")
	for range 2 { // one may have come long ago
		<-peers.gossiped
	}
	host.requestExchange()
	time.Sleep(2 * urgentLeaderInterval)
	peers.cut()
	return peers
}

// Guards against a host that goes on asking random peers seldom while the key-value service rejects
// it: in the largest region without watchers, the one peer that answers was asked too late if it
// came last.
func TestPeerThatIsAskedLastIsAskedInTime(t *testing.T) {
	f := newFleet(t)
	f.cutOffWhenNextMessagesAreFar("a")
	f.keyValue.setUnavailable("a", true)
	host := f.hosts["a"]
	require.Eventually(t, func() bool { return host.Routes().Configuration().Version == 9 }, applyDeadline, 10*time.Millisecond)
}

// Guards against a host that learns that its leader hangs and asks a random peer only when the
// interval is over that it had begun before.
func TestHostWhoseLeaderHangsAsksAnotherPeerAtOnce(t *testing.T) {
	f := newFleet(t)
	peers := f.cutOffWhenNextMessagesAreFar("a")
	<-peers.gossiped
	f.eventually(f.hosts["a"].isExchangeFailing.Load, "the leader hangs")
	select {
	case <-peers.gossiped:
	case <-time.After(gossipInterval / 2):
		require.Fail(t, "no other peer was asked")
	}
}
