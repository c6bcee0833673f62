package claims

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/store"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
	"github.com/stretchr/testify/require"
)

const (
	measureDuration    = 10 * time.Second
	requestDuration    = 300 * time.Millisecond
	answerBytes        = 200
	maxWritesPerSecond = 200
	// maxContendedWritesPerSecond is for hosts that disagree about the owners.
	maxContendedWritesPerSecond = 700
)

// claimLoad is a fleet with claims at a steady rate, each finished after
// requestDuration.
type claimLoad struct {
	*fleet
	random          *rand.Rand
	submittedAt     map[ident.AttemptID]time.Time
	hostOf          map[ident.AttemptID]int
	latencies       []time.Duration
	usesKeyPerClaim bool
}

// loadSetting is what one row of a table is measured with.
type loadSetting struct {
	rate    int
	hosts   int
	options Options
	// usesKeyPerClaim measures the baseline instead of the machine: for each request
	// a key of its own and two writes.
	usesKeyPerClaim bool
	// hostsDisagree lets each host believe that it alone is live.
	hostsDisagree bool
}

func (l *claimLoad) scheduleArrivals(rate int, until time.Time) {
	if !l.now.Before(until) {
		return
	}
	n := len(l.submittedAt)
	key := ident.IdempotencyKey(fmt.Sprintf("%08x-0000-4000-8000-%012x", n, n))
	attempt := newAttemptID(n)
	l.submittedAt[attempt] = l.now
	l.hostOf[attempt] = l.random.IntN(len(l.names))
	c := l.newClaim(key, attempt)
	if l.usesKeyPerClaim {
		l.writeOwnKey(c)
	} else {
		l.submitClaim(l.hostOf[attempt], c)
	}
	gap := time.Duration(l.random.ExpFloat64() / float64(rate) * float64(time.Second))
	l.schedule(gap, func() { l.scheduleArrivals(rate, until) })
}

func (l *claimLoad) onGranted(a Answer) {
	require.Equal(l.t, Granted, a.Verdict, a.Reason)
	l.latencies = append(l.latencies, l.now.Sub(l.submittedAt[a.Attempt]))
	l.schedule(requestDuration, func() {
		l.finish(l.hostOf[a.Attempt], a.Key, a.Attempt, strings.Repeat("a", answerBytes))
	})
}

// writeOwnKey is the baseline for comparison: a key of the store and two writes for
// each request.
func (l *claimLoad) writeOwnKey(c Claim) {
	writeEntry := func(kind entryKind, body string) {
		e := entry{
			kind: kind,
			key: keyID{
				team: c.Team,
				key:  c.Key,
			},
			attempt:   c.Attempt,
			keepUntil: c.KeepUntil,
			claimedAt: l.now,
			bodyKept:  true,
			body:      []byte(body),
		}
		l.store.swap(store.Swap{
			Puts: []store.Put{{
				Key:   string(c.Key),
				Value: appendEntry(nil, &e),
			}},
		})
	}
	l.schedule(storeDelay, func() {
		writeEntry(kindClaim, "")
		l.latencies = append(l.latencies, storeDelay)
		l.schedule(requestDuration, func() { writeEntry(kindFinish, strings.Repeat("a", answerBytes)) })
	})
}

// measureLoad runs a load and returns its row of the table.
func measureLoad(t *testing.T, s loadSetting) string {
	load := &claimLoad{
		fleet:           newFleet(t, s.hosts, s.options),
		random:          rand.New(rand.NewPCG(1, uint64(s.rate))),
		submittedAt:     make(map[ident.AttemptID]time.Time),
		hostOf:          make(map[ident.AttemptID]int),
		usesKeyPerClaim: s.usesKeyPerClaim,
	}
	load.onAnswer = load.onGranted
	load.runFor(time.Second)
	for _, name := range load.names {
		if s.hostsDisagree {
			load.step(load.hosts[name], LiveHosts{
				Hosts: []ident.HostID{name},
			})
		}
	}
	before := *load.store
	load.scheduleArrivals(s.rate, load.now.Add(measureDuration))
	load.runFor(measureDuration)
	after := *load.store
	load.runFor(time.Minute)
	slices.Sort(load.latencies)
	require.Len(t, load.latencies, len(load.submittedAt), "claims not granted")
	seconds := measureDuration.Seconds()
	writes := float64(after.writes-before.writes) / seconds
	if s.hostsDisagree {
		require.LessOrEqual(t, writes, float64(maxContendedWritesPerSecond))
	} else if !s.usesKeyPerClaim {
		require.LessOrEqual(t, writes, float64(maxWritesPerSecond))
	}
	return fmt.Sprintf("\n| %d | %d | %.0f | %.1f | %.0f | %.0f | %.0f | %.1f | %.1f |",
		s.rate, s.hosts, writes, float64(after.reads-before.reads)/seconds,
		float64(after.writtenBytes-before.writtenBytes)/seconds/1000,
		float64(after.readBytes-before.readBytes)/seconds/1000, float64(after.largestValueBytes)/1000,
		milliseconds(load.latencies[len(load.latencies)/2]), milliseconds(load.latencies[len(load.latencies)*99/100]))
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}

func logTable(t *testing.T, title string, settings ...loadSetting) {
	text := title + "\n| claims/s | hosts | writes/s | reads/s | kB/s written | kB/s read | largest page kB | p50 ms | p99 ms |\n|---|---|---|---|---|---|---|---|---|"
	for _, s := range settings {
		text += measureLoad(t, s)
	}
	t.Log(text)
}

// atSevenHosts returns a setting at three rates and 7 hosts.
func atSevenHosts(s loadSetting) []loadSetting {
	var settings []loadSetting
	for _, rate := range []int{10, 100, 1000} {
		s.rate, s.hosts = rate, 7
		settings = append(settings, s)
	}
	return settings
}

func TestSwapRateUnderLoad(t *testing.T) {
	var defaults []loadSetting
	for _, rate := range []int{10, 100, 1000} {
		for _, hosts := range []int{1, 2, 4, 7} {
			defaults = append(defaults, loadSetting{
				rate:  rate,
				hosts: hosts,
			})
		}
	}
	logTable(t, "group commit, defaults", defaults...)
	logTable(t, "a key and two swaps for each request", atSevenHosts(loadSetting{
		usesKeyPerClaim: true,
	})...)
	logTable(t, "every host believes that it alone is the owner", atSevenHosts(loadSetting{
		hostsDisagree: true,
	})...)
	for _, size := range []int{4 << 10, 48 << 10} {
		logTable(t, fmt.Sprintf("segments of %d KiB", size>>10), atSevenHosts(loadSetting{
			options: Options{
				SegmentSize: size,
			},
		})...)
	}
	for _, burst := range []int{1, 3} {
		logTable(t, fmt.Sprintf("bursts of %d", burst), atSevenHosts(loadSetting{
			options: Options{
				SwapBurst: burst,
			},
		})...)
	}
	for _, delay := range []time.Duration{100 * time.Millisecond, time.Second} {
		logTable(t, fmt.Sprintf("finishes wait %s", delay), atSevenHosts(loadSetting{
			options: Options{
				FinishDelay: delay,
			},
		})...)
	}
}

// jsonEntry is an entry as JSON, for comparison with the encoding in use.
type jsonEntry struct {
	Kind        entryKind
	Team        ident.TeamName
	Key         ident.IdempotencyKey
	Attempt     ident.AttemptID
	KeepUntil   time.Time
	Fingerprint ident.Fingerprint
	Host        ident.HostID
	At          time.Time
}

func sampleClaim(n int) entry {
	return entry{
		kind: kindClaim,
		key: keyID{
			team: testTeam,
			key:  ident.IdempotencyKey(fmt.Sprintf("%08x-0000-4000-8000-%012x", n, n)),
		},
		attempt:     newAttemptID(n),
		keepUntil:   startTime.Add(longRetention),
		fingerprint: ident.Fingerprint(xxhash.Sum64String(fmt.Sprint(n))),
		host:        "brest-a-1",
		claimedAt:   startTime,
	}
}

func encodeJSON(t testing.TB, e entry) []byte {
	text, err := json.Marshal(jsonEntry{
		Kind:        e.kind,
		Team:        e.key.team,
		Key:         e.key.key,
		Attempt:     e.attempt,
		KeepUntil:   e.keepUntil,
		Fingerprint: e.fingerprint,
		Host:        e.host,
		At:          e.claimedAt,
	})
	require.NoError(t, err)
	return text
}

func TestEntryIsLessThanHalfOfItsJSONSize(t *testing.T) {
	e := sampleClaim(1)
	binarySize := len(appendEntry(nil, &e))
	jsonSize := len(encodeJSON(t, e))
	t.Logf("bytes of a claim: %d, as JSON %d", binarySize, jsonSize)
	require.Less(t, 2*binarySize, jsonSize)
}

func BenchmarkAppendEntry(b *testing.B) {
	e := sampleClaim(1)
	var raw []byte
	for b.Loop() {
		raw = appendEntry(raw[:0], &e)
	}
}

func BenchmarkAppendEntryJSON(b *testing.B) {
	e := sampleClaim(1)
	for b.Loop() {
		encodeJSON(b, e)
	}
}

func BenchmarkDecodeHead(b *testing.B) {
	var raw []byte
	for n := 0; len(raw) < DefaultSegmentSize; n++ {
		e := sampleClaim(n)
		raw = appendEntry(raw, &e)
	}
	head := encodeHead(0, 1, raw)
	for b.Loop() {
		if _, err := decodePage(head); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkClaimGrantFinish(b *testing.B) {
	f := newFleet(b, 1, Options{
		MaxSealedSize: 1 << 40,
	})
	f.runFor(time.Second)
	n := 0
	for b.Loop() {
		key, attempt := ident.IdempotencyKey(fmt.Sprint(n)), newAttemptID(n)
		f.claim(0, key, attempt)
		f.runFor(2 * time.Millisecond)
		n++
	}
}

// Owners must be spread evenly over the hosts, and a host that leaves must only change
// the owner of its own partitions.
func TestPartitionOwnersAreSpread(t *testing.T) {
	const partitions = 1600
	hosts := []string{"a", "b", "c", "d", "e", "f", "g"}
	all, withoutFirst := rendezvous.New(hosts, xxhash.Sum64String), rendezvous.New(hosts[1:], xxhash.Sum64String)
	owned := make(map[string]int)
	for n := range partitions {
		owner := all.Lookup(fmt.Sprint(n))
		owned[owner]++
		if owner != "a" {
			require.Equal(t, owner, withoutFirst.Lookup(fmt.Sprint(n)))
		}
	}
	for _, name := range hosts {
		require.InEpsilon(t, partitions/len(hosts), owned[name], 0.34, "%v", owned)
	}
}
