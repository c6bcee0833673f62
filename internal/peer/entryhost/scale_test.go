package entryhost

import (
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"cicadaloom/internal/control/membership"
	"cicadaloom/internal/control/reports"
	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/unit"
)

const (
	// framingBytes is the overhead of HTTP/2 and gRPC for each request or answer.
	framingBytes           = 60
	pollInterval           = 3 * time.Second
	watchersPerServer      = 2
	dataCentres            = 7
	firstRegionDataCentres = 4
	warmUpSeconds          = 30
	sampleSeconds          = 30
)

// node is the state of one simulated host.
type node struct {
	members  membership.Machine
	reports  reports.Machine
	received map[ident.HostID]Cursors
	bytes    int
	polls    int
}

// simulation is a fleet whose hosts exchange encoded messages in simulated time.
type simulation struct {
	t       *testing.T
	now     time.Time
	random  *rand.Rand
	nodes   []*node
	byName  map[ident.HostID]*node
	servers []backend.Server
	missing int
}

func location(i int) (ident.DataCentre, ident.Region) {
	dataCentre := i % dataCentres
	region := ident.Region("finistere")
	if dataCentre >= firstRegionDataCentres {
		region = "armor"
	}
	return ident.DataCentre(fmt.Sprint("dc-", dataCentre)), region
}

func newSimulation(t *testing.T, hosts, servers int) *simulation {
	n := &simulation{
		t:      t,
		now:    time.Unix(1_700_000_000, 0),
		random: rand.New(rand.NewPCG(1, 2)),
		byName: make(map[ident.HostID]*node),
	}
	var list []membership.Peer
	for i := range hosts {
		peer := membership.Peer{
			Host:    ident.HostID(fmt.Sprintf("brest-a-entry-%03d", i)),
			Address: fmt.Sprintf("10.1.%d.%d:7300", i/250, i%250),
		}
		peer.DataCentre, peer.Region = location(i)
		list = append(list, peer)
		added := &node{
			members: membership.Machine{
				Self: peer,
			},
			received: make(map[ident.HostID]Cursors),
		}
		n.nodes = append(n.nodes, added)
		n.byName[peer.Host] = added
	}
	for i := range servers {
		server := backend.Server{
			Name: ident.ServerName(fmt.Sprintf("brest-a-gpu-%03d", i)),
			Kind: backend.KindEngine,
		}
		server.DataCentre, server.Region = location(i)
		n.servers = append(n.servers, server)
	}
	for _, one := range n.nodes {
		one.members.Step(n.now, membership.HostsListed{
			Hosts: list,
		})
		one.reports.Step(n.now, reports.ServersListed{
			Servers: n.servers,
		})
	}
	return n
}

// send sends the changes that the receiver does not have yet, encoded and decoded.
func (n *simulation) send(from, to *node) {
	received := to.received[from.members.Self.Host]
	memberMessage := from.members.MessageFor(n.now, to.members.Self.Host, received.Peers)
	reportMessage := from.reports.MessageFor(reports.Recipient{
		Host:   to.members.Self.Host,
		Region: to.members.Self.Region,
	}, received.Reports)
	message := encodeMessage(Message{
		Peers:           memberMessage.Peers,
		Heartbeats:      memberMessage.Heartbeats,
		Reports:         reportMessage,
		SentAfter:       received,
		ReceivedThrough: from.received[to.members.Self.Host],
		SentThrough: Cursors{
			Epoch:   1,
			Peers:   memberMessage.ThroughVersion,
			Reports: reportMessage.ThroughVersion,
		},
		WantsReports: true,
	})
	size := proto.Size(message) + framingBytes
	from.bytes += size
	to.bytes += size
	decoded := decodeMessage(message)
	to.received[from.members.Self.Host] = decoded.SentThrough
	to.members.Step(n.now, membership.PeerMessageReceived{
		From: from.members.Self.Host,
		Message: membership.Message{
			Peers:      decoded.Peers,
			Heartbeats: decoded.Heartbeats,
		},
	})
	result := to.reports.Step(n.now, reports.PeerMessageReceived{
		From:    from.members.Self.Host,
		Message: decoded.Reports,
	})
	if result.MissingInventory {
		n.missing++
	}
}

func (n *simulation) poll(one *node, server int) {
	report := backend.Report{
		Server:      n.servers[server].Name,
		Incarnation: "inc-00112233445566778899aabbccddeeff",
		ReportedAt:  n.now,
		Memory:      640 * unit.Gibibyte,
		Running:     n.random.IntN(40),
		Waiting:     n.random.IntN(4),
		Slots:       64,
	}
	for k := range 4 {
		report.Residents = append(report.Residents, backend.Resident{
			Model:   ident.ModelName(fmt.Sprintf("model-%04d", server*4+k)),
			Version: "1",
			Memory:  80 * unit.Gibibyte,
			Ready:   true,
		})
	}
	one.polls++
	one.reports.Step(n.now, reports.ReportPolled{
		Report: report,
	})
}

// step simulates one second. Hosts take their turns in a different order each time, as
// hosts without a common clock do.
func (n *simulation) step(second int) {
	n.now = n.now.Add(time.Second)
	for _, index := range n.random.Perm(len(n.nodes)) {
		one := n.nodes[index]
		one.members.Step(n.now, membership.Tick{})
		for _, target := range one.members.Targets(n.now, false) {
			n.send(one, n.byName[target.Host])
			n.send(n.byName[target.Host], one)
		}
	}
	roster := n.nodes[0].members.Roster(n.now)
	for i := range n.servers {
		server := &n.servers[i]
		for k, host := range roster.Choose(string(server.Name), server.DataCentre, server.Region, watchersPerServer) {
			if (second+i+k)%int(pollInterval/time.Second) == 0 {
				n.poll(n.byName[host], i)
			}
		}
	}
}

// reportAges returns the ages of the reports at all hosts: the sum, the maximum and the
// count for servers of a host's own region, and the maximum for the other region.
func (n *simulation) reportAges() (sum, oldest, oldestElsewhere time.Duration, count int) { //nolint:nonamedreturns // several results of one type
	for _, one := range n.nodes {
		for i := range n.servers {
			report, _, found := one.reports.NewestReport(n.servers[i].Name)
			require.True(n.t, found)
			age := n.now.Sub(report.ReportedAt)
			if n.servers[i].Region != one.members.Self.Region {
				oldestElsewhere = max(oldestElsewhere, age)
				continue
			}
			sum += age
			oldest = max(oldest, age)
			count++
		}
	}
	return sum, oldest, oldestElsewhere, count
}

// TestMeasureExchange prints what the exchange costs a host by the size of the fleet,
// and the ages of the reports that it distributes.
func TestMeasureExchange(t *testing.T) {
	if os.Getenv("CICADALOOM_MEASURE") == "" {
		t.Skip("set CICADALOOM_MEASURE to measure")
	}
	table := "\n| hosts | servers | B/s both ways, mean | most | polls/s a host, mean | most | age, mean | oldest | oldest elsewhere | CPU ms/s a host |\n|--|--|--|--|--|--|--|--|--|--|\n"
	for _, hosts := range []int{46, 92, 185, 370} {
		table += measureExchange(t, hosts, hosts*850/370)
	}
	t.Log(table)
}

func measureExchange(t *testing.T, hosts, servers int) string {
	n := newSimulation(t, hosts, servers)
	for second := range warmUpSeconds {
		n.step(second)
	}
	for _, one := range n.nodes {
		one.bytes, one.polls = 0, 0
	}
	var sum, oldest, oldestElsewhere, spent time.Duration
	count := 0
	for second := range sampleSeconds {
		started := time.Now()
		n.step(second)
		spent += time.Since(started)
		s, o, f, c := n.reportAges()
		sum, oldest, oldestElsewhere, count = sum+s, max(oldest, o), max(oldestElsewhere, f), count+c
	}
	require.Zero(t, n.missing)
	bytes, most, polled, mostPolled := 0, 0, 0, 0
	for _, one := range n.nodes {
		require.Len(t, one.members.LiveHosts(n.now), hosts)
		bytes += one.bytes
		most = max(most, one.bytes)
		polled += one.polls
		mostPolled = max(mostPolled, one.polls)
	}
	perHostSecond := func(total int) float64 { return float64(total) / sampleSeconds / float64(hosts) }
	return fmt.Sprintf("| %d | %d | %.0f | %.0f | %.2f | %.2f | %.1f s | %s | %s | %.1f |\n", hosts, servers,
		perHostSecond(bytes), float64(most)/sampleSeconds, perHostSecond(polled), float64(mostPolled)/sampleSeconds,
		(sum / time.Duration(count)).Seconds(), oldest, oldestElsewhere,
		float64(spent.Milliseconds())/sampleSeconds/float64(hosts))
}
