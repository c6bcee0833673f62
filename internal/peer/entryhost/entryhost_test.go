package entryhost

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"cicadaloom/internal/control/claims"
	"cicadaloom/internal/control/decisions"
	"cicadaloom/internal/control/demand"
	"cicadaloom/internal/control/documents"
	"cicadaloom/internal/control/membership"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/peer/grpcpeer"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

const patience = 10 * time.Second

// peer answers with what it was given and keeps what it was told.
type peer struct {
	knows  Knowledge
	heard  Knowledge
	finish claims.Finish
	demand demand.Told
	err    error

	query   decisions.Query
	decided []decisions.Decision
}

func (p *peer) Exchange(_ context.Context, theirs Knowledge) (Knowledge, error) {
	p.heard = theirs
	return p.knows, p.err
}

func (p *peer) Counts(context.Context) (Counts, error) {
	return Counts{
		Host: "entry-1",
	}, p.err
}

func (p *peer) Demand(_ context.Context, told demand.Told) error {
	p.demand = told
	return p.err
}

func (p *peer) Decisions(_ context.Context, query decisions.Query) ([]decisions.Decision, error) {
	p.query = query
	return p.decided, p.err
}

func (p *peer) ClaimFor(_ context.Context, claim claims.Claim) (claims.Answer, error) {
	return claims.Answer{
		Attempt: claim.Attempt,
		Verdict: claims.Granted,
	}, p.err
}

func (p *peer) FinishFor(_ context.Context, finish claims.Finish) (bool, error) {
	p.finish = finish
	return true, p.err
}

func (p *peer) ReleaseFor(context.Context, claims.Release) (bool, error) {
	return true, p.err
}

func serve(t *testing.T, handler *peer) (string, *Pool) {
	t.Helper()
	return serveFleet(t, handler, nil)
}

func serveFleet(t *testing.T, handler *peer, fleet grpcpeer.Fleet) (string, *Pool) {
	t.Helper()
	server := &Server{
		Handler: handler,
		Fleet:   fleet,
	}
	address, err := server.Start("127.0.0.1:0")
	require.NoError(t, err)
	pool := &Pool{}
	t.Cleanup(func() {
		pool.Close()
		require.NoError(t, server.Stop())
	})
	return address, pool
}

// A team's requests were refused by classes that its document hadn't: those of a document
// of the same team in another fleet. A host of that fleet had gone, a host of this one got
// its address, and the other fleet's hosts went on telling it what they know. Their
// revisions were higher.
func TestAHostOfAnotherFleetIsRefused(t *testing.T) {
	ours := ident.FleetID(7)
	handler := &peer{}
	address, pool := serveFleet(t, handler, func() ident.FleetID { return ours })
	theirs := ident.FleetID(8)
	pool.Fleet = func() ident.FleetID { return theirs }
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	knowledge := Knowledge{
		Peers: []membership.Peer{{
			Host: "entry-2",
		}},
	}
	_, err := pool.Exchange(ctx, address, knowledge)
	require.ErrorContains(t, err, "found fleet 8, allowed 7")
	require.Empty(t, handler.heard.Peers)
	_, err = pool.Claim(ctx, address, claims.Claim{
		Attempt: "att-1",
	})
	require.Error(t, err, "a claim granted elsewhere is no claim")

	for _, known := range []struct {
		ours, theirs ident.FleetID
	}{
		{ours: 7, theirs: 7},
		{ours: 7, theirs: 0},
		{ours: 0, theirs: 7},
	} {
		handler.heard = Knowledge{}
		ours, theirs = known.ours, known.theirs
		_, err = pool.Exchange(ctx, address, knowledge)
		require.NoError(t, err, "hosts that start in an outage learn from peers")
		require.NotEmpty(t, handler.heard.Peers)
	}
}

func TestEveryCallReachesThePeer(t *testing.T) {
	handler := &peer{
		knows: Knowledge{
			Peers: []membership.Peer{{
				Host: "entry-1",
				Beat: 9,
			}},
		},
	}
	address, pool := serve(t, handler)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()

	theirs, err := pool.Exchange(ctx, address, Knowledge{
		Peers: []membership.Peer{{
			Host: "entry-2",
			Beat: 4,
		}},
	})
	require.NoError(t, err)
	require.EqualValues(t, 9, theirs.Peers[0].Beat)
	require.EqualValues(t, "entry-2", handler.heard.Peers[0].Host)

	answer, err := pool.Claim(ctx, address, claims.Claim{
		Attempt: "att-1",
	})
	require.NoError(t, err)
	require.Equal(t, claims.Granted, answer.Verdict)

	recorded, err := pool.Finish(ctx, address, claims.Finish{
		Attempt: "att-1",
		Cut:     true,
		Digest:  5,
	})
	require.NoError(t, err)
	require.True(t, recorded)
	require.True(t, handler.finish.Cut)

	recorded, err = pool.Release(ctx, address, claims.Release{
		Attempt: "att-2",
	})
	require.NoError(t, err)
	require.True(t, recorded)

	told := demand.Told{
		Host:       "entry-2",
		DataCentre: "brest-a",
		Rates: []demand.Rate{{
			Model:     "briefing",
			PerSecond: 2.5,
		}},
	}
	require.NoError(t, pool.Demand(ctx, address, told))
	require.Equal(t, told, handler.demand)

	counts, err := pool.Burn(ctx, address)
	require.NoError(t, err)
	require.EqualValues(t, "entry-1", counts.Host)
}

// A person asks one host about a refusal of another: every field of the answer
// comes over as it was, and so does who asks.
func TestDecisionsComeOverWhole(t *testing.T) {
	handler := &peer{
		decided: []decisions.Decision{{
			Kind:    decisions.KindMove,
			At:      time.Unix(0, 7),
			Host:    "entry-1",
			Team:    "kerlouan",
			Request: "req-1",
			Attempt: "att-1",
			Order:   "ord-1",
			Target:  "briefing",
			Class:   "Crew",
			Server:  "gpu-1",
			Code:    "Load",
			Run:     "NotRun",
			Message: "Required",
			RetryAt: time.Unix(0, 9),
			Have:    1,
			Want:    3,
		}},
	}
	address, pool := serve(t, handler)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	query := decisions.Query{
		ID:       "ord-1",
		Team:     "kerlouan",
		AllTeams: true,
		Limit:    5,
	}
	found, err := pool.Decisions(ctx, address, query)
	require.NoError(t, err)
	require.Equal(t, query, handler.query)
	require.Equal(t, handler.decided, found)
}

// A host starts with empty memory while the key-value service is out and asks a
// peer for all documents. They are more than gRPC's default of 4 MiB: an answer
// refused for its size would leave the host without documents for the outage.
func TestAHostCanLearnManyDocumentsAtOnce(t *testing.T) {
	var handler peer
	for range 8 {
		handler.knows.Documents.Documents = append(handler.knows.Documents.Documents, documents.PeerDocument{
			Team:  "kerlouan",
			Value: bytes.Repeat([]byte("x"), 1<<20),
		})
	}
	address, pool := serve(t, &handler)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	theirs, err := pool.Exchange(ctx, address, Knowledge{})
	require.NoError(t, err)
	require.Len(t, theirs.Documents.Documents, 8)
}

// An error of the peer, a peer that is gone and a pool that is closed are
// errors to the asker, never an empty word that would look like news.
func TestFailuresAreErrors(t *testing.T) {
	address, pool := serve(t, &peer{
		err: errors.New("ending"),
	})
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	_, err := pool.Exchange(ctx, address, Knowledge{})
	require.Error(t, err)
	_, err = pool.Claim(ctx, address, claims.Claim{})
	require.Error(t, err)
	_, err = pool.Burn(ctx, "127.0.0.1:1")
	require.Error(t, err)
	pool.Keep(map[string]bool{
		address: true,
	})
	require.Equal(t, 1, pool.Count())
	pool.Close()
	_, err = pool.Finish(ctx, address, claims.Finish{})
	require.Error(t, err)
}
