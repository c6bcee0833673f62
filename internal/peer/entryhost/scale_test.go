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
	// framing is what HTTP/2 and gRPC add to each message, request or answer.
	framing      = 60
	pollsEvery   = 3 * time.Second
	watchers     = 2
	dataCentres  = 7
	firstRegion  = 4
	warmUp       = 30
	sampleRounds = 30
)

// node is one host's part of the exchange.
type node struct {
	members membership.Machine
	reports reports.Machine
	have    map[ident.HostID]Marks
	bytes   int
	polled  int
}

// network is a fleet whose hosts exchange encoded messages in simulated time.
type network struct {
	t       *testing.T
	now     time.Time
	random  *rand.Rand
	nodes   []*node
	byName  map[ident.HostID]*node
	servers []backend.Server
	missing int
}

func place(i int) (ident.DataCentre, ident.Region) {
	dataCentre := i % dataCentres
	region := ident.Region("finistere")
	if dataCentre >= firstRegion {
		region = "armor"
	}
	return ident.DataCentre(fmt.Sprint("dc-", dataCentre)), region
}

func newNetwork(t *testing.T, hosts, servers int) *network {
	n := &network{
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
		peer.DataCentre, peer.Region = place(i)
		list = append(list, peer)
		added := &node{
			members: membership.Machine{
				Self: peer,
			},
			have: make(map[ident.HostID]Marks),
		}
		n.nodes = append(n.nodes, added)
		n.byName[peer.Host] = added
	}
	for i := range servers {
		server := backend.Server{
			Name: ident.ServerName(fmt.Sprintf("brest-a-gpu-%03d", i)),
			Kind: backend.KindEngine,
		}
		server.DataCentre, server.Region = place(i)
		n.servers = append(n.servers, server)
	}
	for _, one := range n.nodes {
		one.members.Step(n.now, membership.Listed{
			Hosts: list,
		})
		one.reports.Step(n.now, reports.Listed{
			Servers: n.servers,
		})
	}
	return n
}

// tell gives the receiver what it has not taken in, through the codec.
func (n *network) tell(from, to *node) {
	have := to.have[from.members.Self.Host]
	word := from.members.Word(n.now, to.members.Self.Host, have.Peers)
	servers := from.reports.Word(reports.Reader{
		Host:   to.members.Self.Host,
		Region: to.members.Self.Region,
	}, have.Reports)
	message := encodeKnowledge(Knowledge{
		Peers:   word.Peers,
		Beats:   word.Beats,
		Reports: servers,
		From:    have,
		Have:    from.have[to.members.Self.Host],
		Told: Marks{
			Epoch:   1,
			Peers:   word.Through,
			Reports: servers.Through,
		},
		WantsReports: true,
	})
	size := proto.Size(message) + framing
	from.bytes += size
	to.bytes += size
	got := decodeKnowledge(message)
	to.have[from.members.Self.Host] = got.Told
	to.members.Step(n.now, membership.Heard{
		From: from.members.Self.Host,
		Word: membership.Word{
			Peers: got.Peers,
			Beats: got.Beats,
		},
	})
	news := to.reports.Step(n.now, reports.Told{
		From: from.members.Self.Host,
		Word: got.Reports,
	})
	if news.Missing {
		n.missing++
	}
}

func (n *network) poll(one *node, server int) {
	report := backend.Report{
		Server:      n.servers[server].Name,
		Incarnation: "inc-00112233445566778899aabbccddeeff",
		At:          n.now,
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
	one.polled++
	one.reports.Step(n.now, reports.Polled{
		Report: report,
	})
}

// round is one second. Hosts take their turns in another order each time, as
// hosts that are not in step do.
func (n *network) round(second int) {
	n.now = n.now.Add(time.Second)
	for _, at := range n.random.Perm(len(n.nodes)) {
		one := n.nodes[at]
		one.members.Step(n.now, membership.Beaten{})
		for _, target := range one.members.Targets(n.now, false) {
			n.tell(one, n.byName[target.Host])
			n.tell(n.byName[target.Host], one)
		}
	}
	roster := n.nodes[0].members.Roster(n.now)
	for i := range n.servers {
		server := &n.servers[i]
		for k, host := range roster.Chosen(string(server.Name), server.DataCentre, server.Region, watchers) {
			if (second+i+k)%int(pollsEvery/time.Second) == 0 {
				n.poll(n.byName[host], i)
			}
		}
	}
}

// ages gives how old the reports of a host's own region, and of the other, are.
func (n *network) ages() (sum, oldest, far time.Duration, count int) { //nolint:nonamedreturns // four of a kind
	for _, one := range n.nodes {
		for i := range n.servers {
			report, _, found := one.reports.Newest(n.servers[i].Name)
			require.True(n.t, found)
			age := n.now.Sub(report.At)
			if n.servers[i].Region != one.members.Self.Region {
				far = max(far, age)
				continue
			}
			sum += age
			oldest = max(oldest, age)
			count++
		}
	}
	return sum, oldest, far, count
}

// TestMeasureExchange prints what the exchange costs a host, by the size of the
// fleet, and how old the reports are that it brings.
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
	n := newNetwork(t, hosts, servers)
	for second := range warmUp {
		n.round(second)
	}
	for _, one := range n.nodes {
		one.bytes, one.polled = 0, 0
	}
	var sum, oldest, far, spent time.Duration
	count := 0
	for second := range sampleRounds {
		began := time.Now()
		n.round(second)
		spent += time.Since(began)
		s, o, f, c := n.ages()
		sum, oldest, far, count = sum+s, max(oldest, o), max(far, f), count+c
	}
	require.Zero(t, n.missing)
	bytes, most, polled, mostPolled := 0, 0, 0, 0
	for _, one := range n.nodes {
		require.Len(t, one.members.Live(n.now), hosts)
		bytes += one.bytes
		most = max(most, one.bytes)
		polled += one.polled
		mostPolled = max(mostPolled, one.polled)
	}
	each := func(total int) float64 { return float64(total) / sampleRounds / float64(hosts) }
	return fmt.Sprintf("| %d | %d | %.0f | %.0f | %.2f | %.2f | %.1f s | %s | %s | %.1f |\n", hosts, servers,
		each(bytes), float64(most)/sampleRounds, each(polled), float64(mostPolled)/sampleRounds,
		(sum / time.Duration(count)).Seconds(), oldest, far,
		float64(spent.Milliseconds())/sampleRounds/float64(hosts))
}
