package takeover

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"cicadaloom/internal/domain/ident"
)

var testSettings = Settings{
	Separation:    3 * time.Second,
	LeaseDuration: 1600 * time.Millisecond,
	OrderTransit:  250 * time.Millisecond,
	OwnOrderTime:  1150 * time.Millisecond,
}

// Guards against a leader that forgets whom its predecessor was still waiting for: a orders, b is
// stopped before its first order, and c must wait for a's.
func TestWaitOfLeaderThatNeverOrderedIsInherited(t *testing.T) {
	lastOrder := time.Unix(100, 0)
	b := Claim{
		At:           lastOrder.Add(time.Second),
		Former:       1,
		FormerSeenAt: time.Unix(1, 0),
		Settled:      1,
	}
	bTerm := Term{
		Number: 2,
		EarlierUntil: testSettings.EarlierUntilByAnswer(&b, &Answer{
			LastOrderAt: lastOrder,
			Covers:      1,
		}),
	}
	c := Claim{
		At:           lastOrder.Add(1200 * time.Millisecond),
		Former:       2,
		FormerSeenAt: b.At,
		Settled:      1,
	}
	until := testSettings.EarlierUntilByAnswer(&c, &Answer{
		LastOrderAt: testSettings.LastOrderAt(bTerm, time.Unix(2, 0)),
		Covers:      2,
	})
	require.Equal(t, lastOrder.Add(testSettings.OrderTransit+testSettings.Separation), testSettings.MayOrderAt(&c, until))
}

// Guards against a host that takes over from itself, and forgets whom its earlier process was
// waiting for.
func TestRestartedLeaderWaitsForThoseBeforeIt(t *testing.T) {
	claim := Claim{
		At:           time.Unix(100, 0),
		Former:       2,
		IsOwn:        true,
		FormerSeenAt: time.Unix(99, 0),
		Settled:      1,
	}
	until := testSettings.EarlierUntil(&claim)
	require.Equal(t, time.Unix(99, 0).Add(testSettings.LeaseDuration+testSettings.Separation), testSettings.MayOrderAt(&claim, until))
	claim.Settled = 2
	require.Equal(t, claim.At.Add(testSettings.OwnOrderTime), testSettings.MayOrderAt(&claim, testSettings.EarlierUntil(&claim)),
		"a settled term leaves only the host's own orders")
}

// simulatedHost is one host of a simulated fleet. Its clock differs from the others'.
type simulatedHost struct {
	index       int
	clockOffset time.Duration
	startedAt   time.Time
	lastOrder   time.Time
	// seenAt is when the process first saw the latest term.
	seenAt time.Time
	last   Term
	// claim is that of the running term, nil if this host doesn't lead. loses is when the host
	// stops at the latest, since it can't renew its lease.
	claim      *Claim
	mayOrderAt time.Time
	loses      time.Time
	isDown     bool
	isCut      bool
}

// simulation is a fleet whose leader key changes hands. Instants of the hosts are by their clocks.
type simulation struct {
	t     *rapid.T
	now   time.Time
	hosts []*simulatedHost
	// writers are the indices of the hosts that wrote the key, by the term's number.
	writers   []int
	settled   ident.FencingNumber
	orderedBy *simulatedHost
	orderedAt time.Time
	// keyUntil is when the key may be acquired again.
	keyUntil time.Time
}

func (s *simulation) clock(h *simulatedHost) time.Time {
	return s.now.Add(h.clockOffset)
}

// number is the number of the latest term.
func (s *simulation) number() ident.FencingNumber {
	return ident.FencingNumber(len(s.writers) - 1)
}

// writer is the host that wrote the key last.
func (s *simulation) writer() *simulatedHost {
	return s.hosts[s.writers[len(s.writers)-1]]
}

func (s *simulation) pick() *simulatedHost {
	return rapid.SampledFrom(s.hosts).Draw(s.t, "host")
}

// advance lets time pass; each host orders as soon as it may, and settles its term.
func (s *simulation) advance(*rapid.T) {
	for range rapid.IntRange(1, 30).Draw(s.t, "steps") {
		s.now = s.now.Add(50 * time.Millisecond)
		for _, h := range s.hosts {
			s.order(h)
		}
	}
}

func (s *simulation) order(h *simulatedHost) {
	if !h.loses.IsZero() && !s.now.Before(h.loses) {
		h.claim = nil
	}
	if h.claim == nil || s.clock(h).Before(h.mayOrderAt) {
		return
	}
	if h.last.Number == s.number() && !h.isCut {
		s.settled = s.number()
	}
	if s.orderedBy != nil && s.orderedBy != h {
		require.GreaterOrEqual(s.t, s.now.Sub(s.orderedAt), testSettings.Separation,
			"host %d orders after host %d", h.index, s.orderedBy.index)
	}
	h.lastOrder = s.clock(h)
	s.orderedBy, s.orderedAt = h, s.now
}

// loseKey ends a term in the store; the leader goes on for its lease at most.
func (s *simulation) loseKey(*rapid.T) {
	h := s.writer()
	s.keyUntil = s.now
	if h.claim != nil && h.loses.IsZero() {
		h.loses = s.now.Add(testSettings.LeaseDuration)
	}
}

// stop ends a term in order: the host keeps running for a while.
func (s *simulation) stop(*rapid.T) {
	h := s.writer()
	h.claim = nil
	s.keyUntil = s.now
}

// restart starts a killed process, or a running one anew.
func (s *simulation) restart(*rapid.T) {
	h := s.pick()
	if h.claim != nil && h == s.writer() {
		s.keyUntil = s.now
	}
	*h = simulatedHost{
		index:       h.index,
		clockOffset: h.clockOffset + time.Duration(rapid.IntRange(-1000, 1000).Draw(s.t, "jump"))*time.Second,
	}
	h.startedAt = s.clock(h)
	h.seenAt = s.clock(h)
	h.isDown = rapid.Bool().Draw(s.t, "down")
}

func (s *simulation) cut(*rapid.T) {
	h := s.pick()
	h.isCut = !h.isCut
}

// acquire writes the key for a host, whose answer may be lost.
func (s *simulation) acquire(*rapid.T) {
	h := s.pick()
	if h.isDown || s.now.Before(s.keyUntil) || h.claim != nil {
		return
	}
	former := s.writer()
	claim := Claim{
		At:           s.clock(h),
		Former:       s.number(),
		IsOwn:        s.number() > 0 && former == h,
		FormerSeenAt: h.seenAt,
		Settled:      s.settled,
		Last:         h.last,
	}
	s.writers = append(s.writers, h.index)
	for _, other := range s.hosts {
		other.seenAt = s.clock(other)
	}
	s.keyUntil = s.now.Add(time.Hour)
	if former.claim != nil && former != h && former.loses.IsZero() {
		former.loses = s.now.Add(testSettings.LeaseDuration)
	}
	if rapid.IntRange(0, 3).Draw(s.t, "answer lost") == 3 {
		s.keyUntil = s.now
		return
	}
	h.claim, h.loses = &claim, time.Time{}
	h.last = Term{
		Number:       s.number(),
		EarlierUntil: testSettings.EarlierUntil(&claim),
	}
	h.mayOrderAt = testSettings.MayOrderAt(&claim, h.last.EarlierUntil)
	s.ask(h)
}

// ask lets the leader ask the former one.
func (s *simulation) ask(h *simulatedHost) {
	if h.claim == nil || h.claim.IsOwn || h.claim.Former == 0 || h.isCut {
		return
	}
	former := s.hosts[s.writers[h.claim.Former]]
	if former.isDown || former.isCut || former.claim != nil && former.last.Number > h.last.Number {
		return
	}
	former.claim = nil
	ownLast := latest(former.lastOrder, former.startedAt)
	age := s.clock(former).Sub(testSettings.LastOrderAt(former.last, ownLast))
	h.last.EarlierUntil = testSettings.EarlierUntilByAnswer(h.claim, &Answer{
		LastOrderAt: s.clock(h).Add(-age),
		Covers:      former.last.Number,
	})
	h.mayOrderAt = testSettings.MayOrderAt(h.claim, h.last.EarlierUntil)
}

// Guards against orders of two hosts closer than the separation, whoever is stopped, killed, cut
// off or loses the answer to its write of the key, and whatever the hosts' clocks say.
func TestOrdersOfTwoLeadersAreApart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{
			t:       t,
			now:     time.Unix(1_000_000, 0),
			writers: []int{0},
		}
		for i := range 3 {
			h := &simulatedHost{
				index:       i,
				clockOffset: time.Duration(rapid.IntRange(-3600, 3600).Draw(t, "clock")) * time.Second,
			}
			h.startedAt, h.seenAt = s.clock(h), s.clock(h)
			s.hosts = append(s.hosts, h)
		}
		t.Repeat(map[string]func(*rapid.T){
			"advance": s.advance,
			"acquire": s.acquire,
			"ask":     func(*rapid.T) { s.ask(s.pick()) },
			"lose":    s.loseKey,
			"stop":    s.stop,
			"restart": s.restart,
			"cut":     s.cut,
		})
	})
}
