package balance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadaloom/internal/control/backpressure"
	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/request"
	"cicadaloom/internal/domain/splitmix"
)

var start = time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)

var weights = request.Weights{
	Model: "m",
}

func engine(name ident.ServerName, centre ident.DataCentre, region ident.Region) ServerInfo {
	return ServerInfo{
		Server: backend.Server{
			Name:       name,
			Kind:       backend.KindEngine,
			DataCentre: centre,
			Region:     region,
		},
		Incarnation: "1",
		Slots:       8,
		Running:     -1,
		Holds:       []request.Weights{weights},
	}
}

func newPool(servers ...ServerInfo) *Pool {
	pool := NewPool(Location{
		DataCentre: "n1",
		Region:     "north",
	}, &backpressure.Table{})
	pool.SetServers(servers)
	return pool
}

func newCriteria(random uint64, tried ...ident.ServerName) Criteria {
	return Criteria{
		Weights: weights,
		Prompt:  1000,
		Random:  random,
		Tried:   tried,
	}
}

func TestTakeVerdicts(t *testing.T) {
	pool := newPool(engine("a", "n1", "north"))
	_, verdict := pool.Take(start, Criteria{
		Weights: request.Weights{
			Model: "other",
		},
	})
	require.Equal(t, NoneHolds, verdict)
	_, verdict = pool.Take(start, newCriteria(1, "a"))
	require.Equal(t, NoneTakes, verdict)
	ticket, verdict := pool.Take(start, newCriteria(1))
	require.Equal(t, Found, verdict)
	require.Equal(t, ident.ServerName("a"), ticket.Server)
}

// Requests stay in their region while it can serve them, and go to another region when its
// servers have a queue.
func TestTakePrefersOwnRegionUntilItQueues(t *testing.T) {
	pool := newPool(engine("near", "n1", "north"), engine("far", "s1", "south"))
	far := 0
	for random := range uint64(12) {
		ticket, _ := pool.Take(start, newCriteria(random))
		if random < 2 {
			require.Equal(t, ident.ServerName("near"), ticket.Server)
		}
		if ticket.Server == "far" {
			far++
		}
	}
	require.Positive(t, far)
}

// All hosts see the same reports. If each took the cheapest server, all would take the same
// one: the choices of many hosts must spread over equal servers.
func TestTakeSpreadsChoicesOfManyHosts(t *testing.T) {
	counts := make(map[ident.ServerName]int)
	for host := range uint64(60) {
		pool := newPool(engine("a", "n1", "north"), engine("b", "n1", "north"), engine("c", "n1", "north"))
		ticket, _ := pool.Take(start, newCriteria(splitmix.Mix(host)))
		counts[ticket.Server]++
	}
	for _, name := range []ident.ServerName{"a", "b", "c"} {
		require.Greater(t, counts[name], 8, "%v", counts)
	}
}

// A server crashes. After the first failed request, the next ones go to other servers until
// the crashed one has had time to come back, and then one at a time.
func TestFailedServerIsEjectedThenProbed(t *testing.T) {
	pool := newPool(engine("a", "n1", "north"), engine("b", "s1", "south"))
	ticket, _ := pool.Take(start, newCriteria(1))
	require.Equal(t, ident.ServerName("a"), ticket.Server)
	ticket.Done(start, Unreached)
	ticket, _ = pool.Take(start.Add(firstEjection/2), newCriteria(2))
	require.Equal(t, ident.ServerName("b"), ticket.Server)
	later := start.Add(2 * firstEjection)
	probe, _ := pool.Take(later, newCriteria(3))
	require.Equal(t, ident.ServerName("a"), probe.Server)
	other, _ := pool.Take(later, newCriteria(4))
	require.Equal(t, ident.ServerName("b"), other.Server, "one at a time")
	probe.Done(later, Answered)
	back, _ := pool.Take(later, newCriteria(5))
	require.Equal(t, ident.ServerName("a"), back.Server)
}

// One server fails a part of its requests although its health check passes. It must get
// fewer of them. If all servers fail alike the cause lies in the requests, and none is
// avoided.
func TestServerWithHigherErrorShareIsAvoided(t *testing.T) {
	pool := newPool(engine("a", "n1", "north"), engine("b", "n1", "north"), engine("c", "n1", "north"))
	taken := 0
	for random := range uint64(400) {
		ticket, _ := pool.Take(start, newCriteria(splitmix.Mix(random)))
		result := Answered
		if ticket.Server == "a" && random%2 == 0 {
			result = Failed
		}
		if ticket.Server == "a" && random >= 100 {
			taken++
		}
		ticket.RecordFirstByte(start.Add(60 * time.Millisecond))
		ticket.Done(start.Add(time.Second), result)
	}
	require.Less(t, taken, 60, "of 300")
}

// A model is about to be unloaded, according to the leader's message or to the engine's
// refusal. Requests go to other servers that hold the model, and to this one only if there
// is none.
func TestRetiringModelIsUsedOnlyAsLastResort(t *testing.T) {
	retiring := engine("a", "n1", "north")
	retiring.Retiring = []ident.ModelName{"m"}
	pool := newPool(retiring, engine("b", "s1", "south"))
	for random := range uint64(10) {
		ticket, _ := pool.Take(start, newCriteria(random))
		require.Equal(t, ident.ServerName("b"), ticket.Server)
		ticket.Done(start, Answered)
	}
	pool.SetServers([]ServerInfo{retiring})
	ticket, _ := pool.Take(start, newCriteria(1))
	require.Equal(t, ident.ServerName("a"), ticket.Server)

	refusing := newPool(engine("a", "n1", "north"), engine("b", "s1", "south"))
	ticket, _ = refusing.Take(start, newCriteria(1))
	require.Equal(t, ident.ServerName("a"), ticket.Server)
	ticket.Done(start, Refused)
	ticket, _ = refusing.Take(start, newCriteria(2))
	require.Equal(t, ident.ServerName("b"), ticket.Server)
}

// An engine is about to unload a model whose adapter no other server holds, and refuses
// every request for the adapter, four times each. Such requests must wait until the server
// that keeps the model has loaded the adapter.
func TestAdapterOfRetiringModelCountsAsNotHeld(t *testing.T) {
	adapter := request.Weights{
		Model:   "m",
		Adapter: "a1",
	}
	retiring := engine("a", "n1", "north")
	retiring.Holds = append(retiring.Holds, adapter)
	retiring.Retiring = []ident.ModelName{"m"}
	pool := newPool(retiring, engine("b", "n1", "north"))
	_, verdict := pool.Take(start, Criteria{
		Weights: adapter,
	})
	require.Equal(t, NoneHolds, verdict)
}

// An incarnation that leaves gets no more requests, even if an older report doesn't say so.
// Another incarnation of the same name starts afresh.
func TestLeavingIncarnationStaysLeaving(t *testing.T) {
	leaving := engine("a", "n1", "north")
	leaving.Leaving = true
	pool := newPool(leaving)
	pool.SetServers([]ServerInfo{engine("a", "n1", "north")})
	_, verdict := pool.Take(start, newCriteria(1))
	require.Equal(t, NoneHolds, verdict)
	restarted := engine("a", "n1", "north")
	restarted.Incarnation = "2"
	pool.SetServers([]ServerInfo{restarted})
	_, verdict = pool.Take(start, newCriteria(1))
	require.Equal(t, Found, verdict)
}

// The prefill of a small model takes a tenth of a large one's. The pool must learn that
// from the answers, although some of them waited: the leader sizes demand by it.
func TestPrefillTimeIsLearnedByModel(t *testing.T) {
	pool := newPool(engine("a", "n1", "north"))
	const perToken = 6 * time.Microsecond
	for i := range 60 {
		ticket, _ := pool.Take(start, newCriteria(uint64(i)))
		took := 1000*perToken + 4*time.Millisecond
		if i%3 == 0 {
			took += 80 * time.Millisecond // waits behind other hosts' prompts
		}
		ticket.RecordFirstByte(start.Add(took))
		ticket.Done(start.Add(took), Answered)
	}
	pool.TakeDemand()
	pool.CountArrival(weights, 1000)
	require.InDelta(t, 0.006, pool.TakeDemand()[weights].Work, 0.004)
}

// A small model has almost no prefill, and its answers take two seconds each. Fifty a
// second need a hundred slots, more than one engine has. Demand by prefill time alone would
// give the model one replica, and its requests would wait for seconds.
func TestDemandCountsSlotsOfAnswers(t *testing.T) {
	pool := newPool(engine("a", "n1", "north")) // 8 slots
	for i := range 60 {
		ticket, _ := pool.Take(start, newCriteria(uint64(i)))
		ticket.RecordFirstByte(start.Add(20 * time.Millisecond))
		ticket.Done(start.Add(2020*time.Millisecond), Answered)
	}
	pool.TakeDemand()
	for range 50 {
		pool.CountArrival(weights, 10)
	}
	require.InDelta(t, 50*2.0/8, pool.TakeDemand()[weights].Work, 1)
}

// Arrivals are reported once; a waiting request is reported each time until it waits no
// more.
func TestDemandIsReportedOnce(t *testing.T) {
	pool := newPool()
	pool.CountArrival(weights, 100)
	end := pool.CountWaiting(weights)
	first := pool.TakeDemand()[weights]
	require.Equal(t, int64(1), first.Requests)
	require.Equal(t, int64(1), first.Waiting)
	second := pool.TakeDemand()[weights]
	require.Zero(t, second.Requests)
	require.Equal(t, int64(1), second.Waiting)
	end()
	require.Zero(t, pool.TakeDemand()[weights].Waiting)
	require.Empty(t, pool.TakeDemand())
}

// Waiting requests must look again when something changes.
func TestChangedClosesOnNews(t *testing.T) {
	pool := newPool()
	changed := pool.Changed()
	pool.SetServers([]ServerInfo{engine("a", "n1", "north")})
	<-changed
	changed = pool.Changed()
	ticket, _ := pool.Take(start, newCriteria(1))
	ticket.Done(start, Answered)
	<-changed
}
