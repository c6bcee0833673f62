package reports

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
)

var start = time.Unix(1_700_000_000, 0)

func newReport(server string, at time.Duration, running int) backend.Report {
	return backend.Report{
		Server:      ident.ServerName(server),
		Incarnation: "inc-1",
		ReportedAt:  start.Add(at),
		Running:     running,
		Residents: []backend.Resident{{
			Model:   "briefing",
			Version: "1",
			Ready:   true,
		}},
	}
}

var sameRegionRecipient = Recipient{
	Host:   "entry-2",
	Region: "finistere",
}

func listServers(servers ...string) ServersListed {
	var list ServersListed
	for _, name := range servers {
		list.Servers = append(list.Servers, backend.Server{
			Name:   ident.ServerName(name),
			Region: "finistere",
		})
	}
	return list
}

// sendMessage steps one machine with another's message of the changes after ackedVersion.
func sendMessage(t require.TestingT, from, to *Machine, recipient Recipient, ackedVersion uint64) (StepResult, uint64) {
	message := from.MessageFor(recipient, ackedVersion)
	require.LessOrEqual(t, len(message.ServerLoads), MaxLoadsPerMessage)
	require.LessOrEqual(t, len(message.Inventories), MaxInventoriesPerMessage)
	return to.Step(start, PeerMessageReceived{
		From:    "entry-1",
		Message: message,
	}), message.ThroughVersion
}

// An inventory is sent once and loads after it; a peer that has all changes gets none.
func TestMessageHasOnlyChanges(t *testing.T) {
	var poller, receiver Machine
	poller.Step(start, listServers("gpu-1"))
	poller.Step(start, ReportPolled{
		Report: newReport("gpu-1", 0, 1),
	})
	result, ackedVersion := sendMessage(t, &poller, &receiver, sameRegionRecipient, 0)
	require.Len(t, result.Reports, 1)
	require.Equal(t, "briefing", string(result.Reports[0].Residents[0].Model))
	require.Empty(t, poller.MessageFor(sameRegionRecipient, ackedVersion).Inventories)

	poller.Step(start, ReportPolled{
		Report: newReport("gpu-1", 6*time.Second, 5),
	})
	message := poller.MessageFor(sameRegionRecipient, ackedVersion)
	require.Empty(t, message.Inventories)
	require.Len(t, message.ServerLoads, 1)
	result, _ = sendMessage(t, &poller, &receiver, sameRegionRecipient, ackedVersion)
	require.Equal(t, 5, result.Reports[0].Running)
	require.Len(t, result.Reports[0].Residents, 1)
	// A report that came from a peer is not sent back to it.
	require.Empty(t, receiver.MessageFor(Recipient{
		Host:   "entry-1",
		Region: "finistere",
	}, 0).Inventories)
}

// A peer that was cut off sends an old report of a server that has lost a model since.
// If it were applied, requests would be sent to a model that is not loaded.
func TestOlderReportNeverReplacesNewerOne(t *testing.T) {
	var lagging, poller, receiver Machine
	lagging.Step(start, ReportPolled{
		Report: newReport("gpu-1", 0, 1),
	})
	newer := newReport("gpu-1", time.Minute, 2)
	newer.Incarnation = "inc-2"
	newer.Residents = nil
	poller.Step(start, ReportPolled{
		Report: newer,
	})
	sendMessage(t, &poller, &receiver, sameRegionRecipient, 0)
	result, _ := sendMessage(t, &lagging, &receiver, sameRegionRecipient, 0)
	require.Empty(t, result.Reports)
	kept, digest, found := receiver.NewestReport("gpu-1")
	require.True(t, found)
	require.EqualValues(t, "inc-2", kept.Incarnation)
	require.Equal(t, ComputeDigest(&newer), digest)
}

// A restarted host gets a server load without the inventory that it belongs to. It
// must not guess the inventory: it reports it as missing and gets everything again.
func TestServerLoadWithoutInventoryIsReportedMissing(t *testing.T) {
	var poller, receiver Machine
	poller.Step(start, listServers("gpu-1"))
	poller.Step(start, ReportPolled{
		Report: newReport("gpu-1", 0, 1),
	})
	_, ackedVersion := sendMessage(t, &poller, &receiver, sameRegionRecipient, 0)
	poller.Step(start, ReportPolled{
		Report: newReport("gpu-1", 6*time.Second, 2),
	})
	var restarted Machine
	result, _ := sendMessage(t, &poller, &restarted, sameRegionRecipient, ackedVersion)
	require.True(t, result.MissingInventory)
	require.Empty(t, result.Reports)
	result, _ = sendMessage(t, &poller, &restarted, sameRegionRecipient, 0)
	require.Len(t, result.Reports, 1)

	changed := newReport("gpu-1", 12*time.Second, 2)
	changed.Residents = nil
	result = receiver.Step(start, PeerMessageReceived{
		Message: Message{
			ServerLoads: []ServerLoad{{
				Server: HashServerName("gpu-1"),
				Digest: ComputeDigest(&changed),
				At:     changed.ReportedAt,
			}},
		},
	})
	require.True(t, result.MissingInventory)
}

// A recipient in another region gets a tenth of a server's reports, unless it leads the
// placement, but a change of the inventory at once.
func TestReportsLeaveRegionAtLongerInterval(t *testing.T) {
	otherRegion := Recipient{
		Host:   "entry-9",
		Region: "armor",
	}
	leader := otherRegion
	leader.AllRegions = true
	var poller Machine
	poller.Step(start, listServers("gpu-1"))
	sent := make(map[Recipient]int)
	ackedVersions := make(map[Recipient]uint64)
	for second := range 60 {
		poller.Step(start, ReportPolled{
			Report: newReport("gpu-1", time.Duration(second)*time.Second, second),
		})
		for _, recipient := range []Recipient{sameRegionRecipient, otherRegion, leader} {
			message := poller.MessageFor(recipient, ackedVersions[recipient])
			sent[recipient] += len(message.ServerLoads) + len(message.Inventories)
			ackedVersions[recipient] = message.ThroughVersion
		}
	}
	require.InDelta(t, 15, sent[sameRegionRecipient], 1)
	require.InDelta(t, 15, sent[leader], 1)
	require.InDelta(t, 6, sent[otherRegion], 1)

	changed := newReport("gpu-1", 60*time.Second, 1)
	changed.Leaving = true
	poller.Step(start, ReportPolled{
		Report: changed,
	})
	require.Len(t, poller.MessageFor(otherRegion, ackedVersions[otherRegion]).Inventories, 1)
}

// The server's settled orders are left out of messages, but a change of them must change
// the digest: that is how the leader knows to poll the server.
func TestDigestCoversFieldsLeftOutOfMessages(t *testing.T) {
	before := newReport("gpu-1", 0, 1)
	after := newReport("gpu-1", time.Second, 7)
	require.Equal(t, ComputeDigest(&before), ComputeDigest(&after))
	after.Settled = append(after.Settled, backend.SettledOrder{
		ID:     "ord-1",
		Result: backend.OrderDone,
	})
	require.NotEqual(t, ComputeDigest(&before), ComputeDigest(&after))
	after = before
	after.Fencing = 3
	require.NotEqual(t, ComputeDigest(&before), ComputeDigest(&after))
}

// Messages are truncated while servers change and hosts restart. In whatever order that
// happens, a recipient that goes on receiving ends with the reports that the poller has.
func TestRecipientConvergesToPollersReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var poller, receiver Machine
		servers := rapid.IntRange(1, 3*MaxInventoriesPerMessage).Draw(t, "servers")
		ackedVersion := uint64(0)
		at := time.Duration(0)
		poll := func(i int, incarnation string) {
			at += 5 * time.Second
			report := newReport(fmt.Sprint("gpu-", i), at, i)
			report.Incarnation = ident.Incarnation(incarnation)
			poller.Step(start, ReportPolled{
				Report: report,
			})
		}
		for i := range servers {
			poller.Step(start, listServers(fmt.Sprint("gpu-", i)))
			poll(i, "inc-1")
		}
		for range rapid.IntRange(0, 30).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				poll(rapid.IntRange(0, servers-1).Draw(t, "server"), "inc-1")
			case 1:
				poll(rapid.IntRange(0, servers-1).Draw(t, "server"), "inc-2")
			case 2:
				receiver, ackedVersion = Machine{}, 0
			default:
				_, ackedVersion = sendMessage(t, &poller, &receiver, sameRegionRecipient, ackedVersion)
			}
		}
		for poller.MessageFor(sameRegionRecipient, ackedVersion).ThroughVersion != ackedVersion || ackedVersion == 0 {
			var result StepResult
			result, ackedVersion = sendMessage(t, &poller, &receiver, sameRegionRecipient, ackedVersion)
			require.False(t, result.MissingInventory)
		}
		for i := range servers {
			name := ident.ServerName(fmt.Sprint("gpu-", i))
			want, digest, _ := poller.NewestReport(name)
			got, gotDigest, found := receiver.NewestReport(name)
			require.True(t, found)
			require.Equal(t, digest, gotDigest)
			require.True(t, want.ReportedAt.Equal(got.ReportedAt))
			require.Equal(t, want.Residents, got.Residents)
		}
	})
}
