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

func report(server string, at time.Duration, running int) backend.Report {
	return backend.Report{
		Server:      ident.ServerName(server),
		Incarnation: "inc-1",
		At:          start.Add(at),
		Running:     running,
		Residents: []backend.Resident{{
			Model:   "briefing",
			Version: "1",
			Ready:   true,
		}},
	}
}

var here = Reader{
	Host:   "entry-2",
	Region: "finistere",
}

func listing(servers ...string) Listed {
	var list Listed
	for _, name := range servers {
		list.Servers = append(list.Servers, backend.Server{
			Name:   ident.ServerName(name),
			Region: "finistere",
		})
	}
	return list
}

// pass tells one machine what another has that it has not taken in.
func pass(t require.TestingT, from, to *Machine, reader Reader, have uint64) (News, uint64) {
	word := from.Word(reader, have)
	require.LessOrEqual(t, len(word.Loads), MaxLoads)
	require.LessOrEqual(t, len(word.Holdings), MaxHoldings)
	return to.Step(start, Told{
		From: "entry-1",
		Word: word,
	}), word.Through
}

// Holdings go once, loads go on; a peer that has everything is told nothing.
func TestOnlyNewsIsTold(t *testing.T) {
	var watcher, reader Machine
	watcher.Step(start, listing("gpu-1"))
	watcher.Step(start, Polled{
		Report: report("gpu-1", 0, 1),
	})
	news, have := pass(t, &watcher, &reader, here, 0)
	require.Len(t, news.Reports, 1)
	require.Equal(t, "briefing", string(news.Reports[0].Residents[0].Model))
	require.Empty(t, watcher.Word(here, have).Holdings)

	watcher.Step(start, Polled{
		Report: report("gpu-1", 6*time.Second, 5),
	})
	word := watcher.Word(here, have)
	require.Empty(t, word.Holdings)
	require.Len(t, word.Loads, 1)
	news, _ = pass(t, &watcher, &reader, here, have)
	require.Equal(t, 5, news.Reports[0].Running)
	require.Len(t, news.Reports[0].Residents, 1)
	// What a peer told is not told back to it.
	require.Empty(t, reader.Word(Reader{
		Host:   "entry-1",
		Region: "finistere",
	}, 0).Holdings)
}

// A peer that was cut off tells an old report of a server that has lost a model
// since. Taken in, requests would be sent to a model that is gone.
func TestAnOlderReportNeverReplacesANewerOne(t *testing.T) {
	var late, watcher, reader Machine
	late.Step(start, Polled{
		Report: report("gpu-1", 0, 1),
	})
	newer := report("gpu-1", time.Minute, 2)
	newer.Incarnation = "inc-2"
	newer.Residents = nil
	watcher.Step(start, Polled{
		Report: newer,
	})
	pass(t, &watcher, &reader, here, 0)
	news, _ := pass(t, &late, &reader, here, 0)
	require.Empty(t, news.Reports)
	kept, digest, found := reader.Newest("gpu-1")
	require.True(t, found)
	require.EqualValues(t, "inc-2", kept.Incarnation)
	require.Equal(t, Digest(&newer), digest)
}

// A host that lost its memory gets a load without the holdings that it belongs
// to. It must not guess them: it says so and is told everything again.
func TestALoadWithoutItsHoldingsIsMissing(t *testing.T) {
	var watcher, reader Machine
	watcher.Step(start, listing("gpu-1"))
	watcher.Step(start, Polled{
		Report: report("gpu-1", 0, 1),
	})
	_, have := pass(t, &watcher, &reader, here, 0)
	watcher.Step(start, Polled{
		Report: report("gpu-1", 6*time.Second, 2),
	})
	var restarted Machine
	news, _ := pass(t, &watcher, &restarted, here, have)
	require.True(t, news.Missing)
	require.Empty(t, news.Reports)
	news, _ = pass(t, &watcher, &restarted, here, 0)
	require.Len(t, news.Reports, 1)

	changed := report("gpu-1", 12*time.Second, 2)
	changed.Residents = nil
	news = reader.Step(start, Told{
		Word: Word{
			Loads: []Load{{
				Server: Hash("gpu-1"),
				Digest: Digest(&changed),
				At:     changed.At,
			}},
		},
	})
	require.True(t, news.Missing)
}

// A reader in the other region gets a tenth of a server's reports, but a change
// of what it holds at once, unless it leads the placement.
func TestReportsLeaveTheirRegionAtASlowerPace(t *testing.T) {
	far := Reader{
		Host:   "entry-9",
		Region: "armor",
	}
	leader := far
	leader.All = true
	var watcher Machine
	watcher.Step(start, listing("gpu-1"))
	told := make(map[Reader]int)
	have := make(map[Reader]uint64)
	for second := range 60 {
		watcher.Step(start, Polled{
			Report: report("gpu-1", time.Duration(second)*time.Second, second),
		})
		for _, reader := range []Reader{here, far, leader} {
			word := watcher.Word(reader, have[reader])
			told[reader] += len(word.Loads) + len(word.Holdings)
			have[reader] = word.Through
		}
	}
	require.InDelta(t, 15, told[here], 1)
	require.InDelta(t, 15, told[leader], 1)
	require.InDelta(t, 6, told[far], 1)

	changed := report("gpu-1", 60*time.Second, 1)
	changed.Leaving = true
	watcher.Step(start, Polled{
		Report: changed,
	})
	require.Len(t, watcher.Word(far, have[far]).Holdings, 1)
}

// The server's settled orders are left out of what peers are told, but a change
// of them must show in the digest: by it the leader knows to ask.
func TestTheDigestCoversWhatIsLeftOut(t *testing.T) {
	before := report("gpu-1", 0, 1)
	after := report("gpu-1", time.Second, 7)
	require.Equal(t, Digest(&before), Digest(&after))
	after.Settled = append(after.Settled, backend.SettledOrder{
		ID:     "ord-1",
		Result: backend.OrderDone,
	})
	require.NotEqual(t, Digest(&before), Digest(&after))
	after = before
	after.Fencing = 3
	require.NotEqual(t, Digest(&before), Digest(&after))
}

// Words are cut short while servers change and hosts forget. However that goes,
// a reader that goes on asking ends with just what the watcher has.
func TestAReaderEndsWithWhatTheWatcherHas(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var watcher, reader Machine
		servers := rapid.IntRange(1, 3*MaxHoldings).Draw(t, "servers")
		have := uint64(0)
		at := time.Duration(0)
		polled := func(i int, incarnation string) {
			at += 5 * time.Second
			one := report(fmt.Sprint("gpu-", i), at, i)
			one.Incarnation = ident.Incarnation(incarnation)
			watcher.Step(start, Polled{
				Report: one,
			})
		}
		for i := range servers {
			watcher.Step(start, listing(fmt.Sprint("gpu-", i)))
			polled(i, "inc-1")
		}
		for range rapid.IntRange(0, 30).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				polled(rapid.IntRange(0, servers-1).Draw(t, "server"), "inc-1")
			case 1:
				polled(rapid.IntRange(0, servers-1).Draw(t, "server"), "inc-2")
			case 2:
				reader, have = Machine{}, 0
			default:
				_, have = pass(t, &watcher, &reader, here, have)
			}
		}
		for watcher.Word(here, have).Through != have || have == 0 {
			var news News
			news, have = pass(t, &watcher, &reader, here, have)
			require.False(t, news.Missing)
		}
		for i := range servers {
			name := ident.ServerName(fmt.Sprint("gpu-", i))
			want, digest, _ := watcher.Newest(name)
			got, gotDigest, found := reader.Newest(name)
			require.True(t, found)
			require.Equal(t, digest, gotDigest)
			require.True(t, want.At.Equal(got.At))
			require.Equal(t, want.Residents, got.Residents)
		}
	})
}
