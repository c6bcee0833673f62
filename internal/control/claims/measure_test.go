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
	measured    = 10 * time.Second
	runTime     = 300 * time.Millisecond
	answerSize  = 200
	writeTarget = 200
	// contentionTarget is for hosts that disagree about who is home.
	contentionTarget = 700
)

// load is a simulated fleet under steady claims, each finished a while later.
type load struct {
	*fleet
	random   *rand.Rand
	askedAt  map[ident.AttemptID]time.Time
	hostOf   map[ident.AttemptID]int
	added    []time.Duration
	perClaim bool
}

// setting is what a line of the table is measured with.
type setting struct {
	rate    int
	hosts   int
	options Options
	// perClaim takes the baseline: a key and two swaps for each request.
	perClaim bool
	// disagree makes each host believe that it alone lives.
	disagree bool
}

func (l *load) arrivals(rate int, until time.Time) {
	if !l.now.Before(until) {
		return
	}
	n := len(l.askedAt)
	key := ident.IdempotencyKey(fmt.Sprintf("%08x-0000-4000-8000-%012x", n, n))
	attempt := attemptOf(n)
	l.askedAt[attempt] = l.now
	l.hostOf[attempt] = l.random.IntN(len(l.names))
	c := l.newClaim(key, attempt)
	if l.perClaim {
		l.ownKey(c)
	} else {
		l.claimWith(l.hostOf[attempt], c)
	}
	gap := time.Duration(l.random.ExpFloat64() / float64(rate) * float64(time.Second))
	l.after(gap, func() { l.arrivals(rate, until) })
}

func (l *load) onGranted(a Answer) {
	require.Equal(l.t, Granted, a.Verdict, a.Reason)
	l.added = append(l.added, l.now.Sub(l.askedAt[a.Attempt]))
	l.after(runTime, func() {
		l.finish(l.hostOf[a.Attempt], a.Key, a.Attempt, strings.Repeat("a", answerSize))
	})
}

// ownKey is the way not taken: a key of the service and two swaps a request.
func (l *load) ownKey(c Claim) {
	put := func(kind entryKind, body string) {
		e := entry{
			kind: kind,
			key: keyID{
				team: c.Team,
				key:  c.Key,
			},
			attempt:   c.Attempt,
			keepUntil: c.KeepUntil,
			at:        l.now,
			whole:     true,
			body:      []byte(body),
		}
		l.store.swap(store.Swap{
			Puts: []store.Put{{
				Key:   string(c.Key),
				Value: appendEntry(nil, &e),
			}},
		})
	}
	l.after(storeDelay, func() {
		put(kindClaim, "")
		l.added = append(l.added, storeDelay)
		l.after(runTime, func() { put(kindFinish, strings.Repeat("a", answerSize)) })
	})
}

// row runs a load and gives its line of the table.
func row(t *testing.T, s setting) string {
	l := &load{
		fleet:    newFleet(t, s.hosts, s.options),
		random:   rand.New(rand.NewPCG(1, uint64(s.rate))),
		askedAt:  make(map[ident.AttemptID]time.Time),
		hostOf:   make(map[ident.AttemptID]int),
		perClaim: s.perClaim,
	}
	l.onAnswer = l.onGranted
	l.run(time.Second)
	for _, name := range l.names {
		if s.disagree {
			l.step(l.hosts[name], Homes{
				Hosts: []ident.HostID{name},
			})
		}
	}
	before := *l.store
	l.arrivals(s.rate, l.now.Add(measured))
	l.run(measured)
	after := *l.store
	l.run(time.Minute)
	slices.Sort(l.added)
	require.Len(t, l.added, len(l.askedAt), "claims not granted")
	seconds := measured.Seconds()
	writes := float64(after.writes-before.writes) / seconds
	if s.disagree {
		require.LessOrEqual(t, writes, float64(contentionTarget))
	} else if !s.perClaim {
		require.LessOrEqual(t, writes, float64(writeTarget))
	}
	return fmt.Sprintf("\n| %d | %d | %.0f | %.1f | %.0f | %.0f | %.0f | %.1f | %.1f |",
		s.rate, s.hosts, writes, float64(after.reads-before.reads)/seconds,
		float64(after.bytes-before.bytes)/seconds/1000,
		float64(after.readBytes-before.readBytes)/seconds/1000, float64(after.largest)/1000,
		milliseconds(l.added[len(l.added)/2]), milliseconds(l.added[len(l.added)*99/100]))
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}

func table(t *testing.T, title string, settings ...setting) {
	text := title + "\n| claims/s | hosts | writes/s | reads/s | kB/s written | kB/s read | largest page kB | p50 ms | p99 ms |\n|---|---|---|---|---|---|---|---|---|"
	for _, s := range settings {
		text += row(t, s)
	}
	t.Log(text)
}

// at7 gives the settings of three rates at seven hosts.
func at7(s setting) []setting {
	var all []setting
	for _, rate := range []int{10, 100, 1000} {
		s.rate, s.hosts = rate, 7
		all = append(all, s)
	}
	return all
}

func TestMeasure(t *testing.T) {
	var defaults []setting
	for _, rate := range []int{10, 100, 1000} {
		for _, hosts := range []int{1, 2, 4, 7} {
			defaults = append(defaults, setting{
				rate:  rate,
				hosts: hosts,
			})
		}
	}
	table(t, "group commit, defaults", defaults...)
	table(t, "a key and two swaps for each request", at7(setting{
		perClaim: true,
	})...)
	table(t, "every host believes that it alone is home", at7(setting{
		disagree: true,
	})...)
	for _, size := range []int{4 << 10, 48 << 10} {
		table(t, fmt.Sprintf("segments of %d KiB", size>>10), at7(setting{
			options: Options{
				SegmentSize: size,
			},
		})...)
	}
	for _, burst := range []int{1, 3} {
		table(t, fmt.Sprintf("bursts of %d", burst), at7(setting{
			options: Options{
				Burst: burst,
			},
		})...)
	}
	for _, delay := range []time.Duration{100 * time.Millisecond, time.Second} {
		table(t, fmt.Sprintf("finishes wait %s", delay), at7(setting{
			options: Options{
				FinishDelay: delay,
			},
		})...)
	}
}

// jsonEntry is the form that was weighed against the one taken.
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
			team: team,
			key:  ident.IdempotencyKey(fmt.Sprintf("%08x-0000-4000-8000-%012x", n, n)),
		},
		attempt:     attemptOf(n),
		keepUntil:   dayOne.Add(plenty),
		fingerprint: ident.Fingerprint(xxhash.Sum64String(fmt.Sprint(n))),
		host:        "brest-a-1",
		at:          dayOne,
	}
}

func jsonOf(t testing.TB, e entry) []byte {
	text, err := json.Marshal(jsonEntry{
		Kind:        e.kind,
		Team:        e.key.team,
		Key:         e.key.key,
		Attempt:     e.attempt,
		KeepUntil:   e.keepUntil,
		Fingerprint: e.fingerprint,
		Host:        e.host,
		At:          e.at,
	})
	require.NoError(t, err)
	return text
}

func TestEntrySizes(t *testing.T) {
	e := sampleClaim(1)
	binary := len(appendEntry(nil, &e))
	text := len(jsonOf(t, e))
	t.Logf("bytes of a claim: %d, as JSON %d", binary, text)
	require.Less(t, 2*binary, text)
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
		jsonOf(b, e)
	}
}

func BenchmarkDecodeHead48K(b *testing.B) {
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
		LogSize: 1 << 40,
	})
	f.run(time.Second)
	n := 0
	for b.Loop() {
		key, attempt := ident.IdempotencyKey(fmt.Sprint(n)), attemptOf(n)
		f.claim(0, key, attempt)
		f.run(2 * time.Millisecond)
		n++
	}
}

// Homes must be spread, and a host that goes must move only its own partitions.
func TestHomesAreSpread(t *testing.T) {
	const partitions = 1600
	names := []string{"a", "b", "c", "d", "e", "f", "g"}
	all, fewer := rendezvous.New(names, xxhash.Sum64String), rendezvous.New(names[1:], xxhash.Sum64String)
	count := make(map[string]int)
	for n := range partitions {
		home := all.Lookup(fmt.Sprint(n))
		count[home]++
		if home != "a" {
			require.Equal(t, home, fewer.Lookup(fmt.Sprint(n)))
		}
	}
	for _, name := range names {
		require.InEpsilon(t, partitions/len(names), count[name], 0.34, "%v", count)
	}
}
