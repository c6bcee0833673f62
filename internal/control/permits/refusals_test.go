package permits

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadaloom/internal/domain/unit"
)

// brittleAsk asks for a permit for a server that bears so many refusals a second.
func brittleAsk(maxRefusals unit.Rate) Ask {
	return Ask{
		Server:      "i-1",
		Incarnation: "1",
		Region:      "north",
		NeedsSend:   true,
		MaxRefusals: maxRefusals,
	}
}

func settled(permit PermitID, wasRefused bool) Ask {
	ask := brittleAsk(12)
	ask.NeedsSend = false
	ask.Settled, ask.WasRefused = permit, wasRefused
	return ask
}

// takeAll takes all permits that are free, and returns them.
func takeAll(t *testing.T, issuer *Issuer, now time.Time, rank Rank, ask Ask) []PermitID {
	t.Helper()
	var taken []PermitID
	for {
		answer := issuer.Issue(now, rank, ask)
		if answer.Outcome != Granted {
			require.True(t, answer.SendAt.After(now), "an ask again and again")
			return taken
		}
		require.Equal(t, now, answer.SendAt)
		require.NotContains(t, taken, answer.Permit)
		taken = append(taken, answer.Permit)
	}
}

// secondRank is that of a host that has long been the second.
var secondRank = Rank{
	Position: 1,
	Since:    start.Add(-time.Hour),
}

// Guards against issuers that together grant more than a brittle server bears, and against one whose
// server gets nothing.
func TestIssuersShareTheRefusalsOfBrittleServer(t *testing.T) {
	for _, test := range []struct {
		maxRefusals   unit.Rate
		first, second int
	}{
		{maxRefusals: 12, first: 9, second: 3},
		{maxRefusals: 40, first: 30, second: 10},
		{maxRefusals: 2.9, first: 1, second: 1},
		{maxRefusals: 0.2, first: 1, second: 1},
		{maxRefusals: 1e300, first: 768, second: 256},
	} {
		var first, second Issuer
		require.Len(t, takeAll(t, &first, at(0), firstRank, brittleAsk(test.maxRefusals)), test.first)
		require.Len(t, takeAll(t, &second, at(0), secondRank, brittleAsk(test.maxRefusals)), test.second)
	}
	var isNew Issuer
	require.Len(t, takeAll(t, &isNew, at(0), Rank{Since: at(0)}, brittleAsk(12)), 3, "the one before it may still grant")
}

// Guards against a server that turns away more than it bears since a refusal frees its permit, or an
// outcome that never comes does so too early, and against permits that are lost for good.
func TestPermitIsFreeOnceItsRefusalCountsNoMore(t *testing.T) {
	var issuer Issuer
	taken := takeAll(t, &issuer, at(0), firstRank, brittleAsk(12))
	issuer.Issue(at(100*time.Millisecond), firstRank, settled(taken[0], false))
	require.Len(t, takeAll(t, &issuer, at(100*time.Millisecond), firstRank, brittleAsk(12)), 1, "the server has room")

	issuer.Issue(at(200*time.Millisecond), firstRank, settled(taken[1], true))
	issuer.Issue(at(300*time.Millisecond), firstRank, settled(taken[1], false))
	require.Empty(t, takeAll(t, &issuer, at(1199*time.Millisecond), firstRank, brittleAsk(12)))
	require.Len(t, takeAll(t, &issuer, at(1300*time.Millisecond), firstRank, brittleAsk(12)), 1)

	require.Empty(t, takeAll(t, &issuer, at(refusalDelay+refusalWindow-1), firstRank, brittleAsk(12)))
	require.Len(t, takeAll(t, &issuer, at(refusalDelay+refusalWindow), firstRank, brittleAsk(12)), 7, "their outcomes never came")
}

// Guards against a server that says how much it bears anew, and gets that much more at once.
func TestPermitsInUseStayWhenServerBearsLess(t *testing.T) {
	var issuer Issuer
	taken := takeAll(t, &issuer, at(0), firstRank, brittleAsk(12))
	require.Empty(t, takeAll(t, &issuer, at(0), firstRank, brittleAsk(4)))
	require.Empty(t, takeAll(t, &issuer, at(0), firstRank, brittleAsk(4)))
	issuer.Issue(at(0), firstRank, settled(taken[0], false))
	require.LessOrEqual(t, len(takeAll(t, &issuer, at(0), firstRank, brittleAsk(4))), 1)
	require.Len(t, takeAll(t, &issuer, at(time.Minute), firstRank, brittleAsk(4)), 3)
}

// Guards against many hosts that ask an issuer again at the same moment.
func TestRefusedHostsAskAgainOneAfterTheOther(t *testing.T) {
	var issuer Issuer
	for _, permit := range takeAll(t, &issuer, at(0), firstRank, brittleAsk(12)) {
		issuer.Issue(at(0), firstRank, settled(permit, true))
	}
	last := at(refusalWindow)
	for range 600 {
		again := issuer.Issue(at(0), firstRank, brittleAsk(12)).SendAt
		require.False(t, again.Before(last))
		last = again
	}
	require.Equal(t, at(maxRetryDelay), last)
}

// Guards against hosts without an issuer that all send at once.
func TestHostsWithoutIssuerTakeTurns(t *testing.T) {
	const hosts = 60
	granted := 0
	for index := range hosts {
		var alone Issuer
		rank := Rank{
			Index: index,
			Hosts: hosts,
		}
		granted += len(takeAll(t, &alone, at(0), rank, brittleAsk(12)))
		granted += len(takeAll(t, &alone, at(time.Second), rank, brittleAsk(12)))
	}
	require.InDelta(t, 12*aloneShare, granted, 1)
}
