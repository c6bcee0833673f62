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
	"cicadaloom/internal/control/permits"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/peer/grpcpeer"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

const testTimeout = 10 * time.Second

// fakeHandler returns prepared results and records the calls.
type fakeHandler struct {
	reply    Message
	received Message
	finish   claims.Finish
	demand   demand.HostRates
	err      error

	query  decisions.Query
	stored []decisions.Decision
}

func (p *fakeHandler) Exchange(_ context.Context, theirs Message) (Message, error) {
	p.received = theirs
	return p.reply, p.err
}

func (p *fakeHandler) BurnCounts(context.Context) (BurnCounts, error) {
	return BurnCounts{
		Host: "entry-1",
	}, p.err
}

func (p *fakeHandler) Demand(_ context.Context, rates demand.HostRates) error {
	p.demand = rates
	return p.err
}

func (p *fakeHandler) Decisions(_ context.Context, query decisions.Query) ([]decisions.Decision, error) {
	p.query = query
	return p.stored, p.err
}

func (p *fakeHandler) ClaimForPeer(_ context.Context, claim claims.Claim) (claims.Answer, error) {
	return claims.Answer{
		Attempt: claim.Attempt,
		Verdict: claims.Granted,
	}, p.err
}

func (p *fakeHandler) FinishForPeer(_ context.Context, finish claims.Finish) (bool, error) {
	p.finish = finish
	return true, p.err
}

func (p *fakeHandler) IssuePermit(permits.Ask) permits.Answer { return permits.Answer{} }

func (p *fakeHandler) ReleaseForPeer(context.Context, claims.Release) (bool, error) {
	return true, p.err
}

func serve(t *testing.T, handler *fakeHandler) (string, *Pool) {
	t.Helper()
	return serveFleet(t, handler, nil)
}

func serveFleet(t *testing.T, handler *fakeHandler, fleet grpcpeer.FleetFunc) (string, *Pool) {
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

// A new host gets the address of a removed host of another fleet, and that fleet's
// hosts go on sending it their messages. If it accepted them, their documents with
// higher revisions would replace those of the same team here, and requests would be
// refused for classes that the team's document does not have.
func TestCallFromAnotherFleetIsRefused(t *testing.T) {
	ours := ident.FleetID(7)
	handler := &fakeHandler{}
	address, pool := serveFleet(t, handler, func() ident.FleetID { return ours })
	theirs := ident.FleetID(8)
	pool.Fleet = func() ident.FleetID { return theirs }
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	message := Message{
		Peers: []membership.Peer{{
			Host: "entry-2",
		}},
	}
	_, err := pool.Exchange(ctx, address, message)
	require.ErrorContains(t, err, "found fleet 8, allowed 7")
	require.Empty(t, handler.received.Peers)
	_, err = pool.Claim(ctx, address, claims.Claim{
		Attempt: "att-1",
	})
	require.Error(t, err, "a claim granted in another fleet does not count")

	for _, known := range []struct {
		ours, theirs ident.FleetID
	}{
		{ours: 7, theirs: 7},
		{ours: 7, theirs: 0},
		{ours: 0, theirs: 7},
	} {
		handler.received = Message{}
		ours, theirs = known.ours, known.theirs
		_, err = pool.Exchange(ctx, address, message)
		require.NoError(t, err, "a host that starts in an outage needs its peers' documents")
		require.NotEmpty(t, handler.received.Peers)
	}
}

func TestCallsReachHandler(t *testing.T) {
	handler := &fakeHandler{
		reply: Message{
			Peers: []membership.Peer{{
				Host:      "entry-1",
				Heartbeat: 9,
			}},
		},
	}
	address, pool := serve(t, handler)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()

	theirs, err := pool.Exchange(ctx, address, Message{
		Peers: []membership.Peer{{
			Host:      "entry-2",
			Heartbeat: 4,
		}},
	})
	require.NoError(t, err)
	require.EqualValues(t, 9, theirs.Peers[0].Heartbeat)
	require.EqualValues(t, "entry-2", handler.received.Peers[0].Host)

	answer, err := pool.Claim(ctx, address, claims.Claim{
		Attempt: "att-1",
	})
	require.NoError(t, err)
	require.Equal(t, claims.Granted, answer.Verdict)

	recorded, err := pool.Finish(ctx, address, claims.Finish{
		Attempt:     "att-1",
		BodyOmitted: true,
		Digest:      5,
	})
	require.NoError(t, err)
	require.True(t, recorded)
	require.True(t, handler.finish.BodyOmitted)

	recorded, err = pool.Release(ctx, address, claims.Release{
		Attempt: "att-2",
	})
	require.NoError(t, err)
	require.True(t, recorded)

	rates := demand.HostRates{
		Host:       "entry-2",
		DataCentre: "brest-a",
		Rates: []demand.Rate{{
			Model:     "briefing",
			PerSecond: 2.5,
		}},
	}
	require.NoError(t, pool.SendDemand(ctx, address, rates))
	require.Equal(t, rates, handler.demand)

	counts, err := pool.FetchBurnCounts(ctx, address)
	require.NoError(t, err)
	require.EqualValues(t, "entry-1", counts.Host)
}

// An operator asks one host about a refusal of another: every field of the query, with
// who asks, and of the answer must arrive unchanged.
func TestDecisionsRoundTrip(t *testing.T) {
	handler := &fakeHandler{
		stored: []decisions.Decision{{
			Kind:           decisions.KindMove,
			At:             time.Unix(0, 7),
			Host:           "entry-1",
			Team:           "kerlouan",
			Request:        "req-1",
			Attempt:        "att-1",
			Order:          "ord-1",
			Target:         "briefing",
			Class:          "Crew",
			Server:         "gpu-1",
			Code:           "Load",
			Run:            "NotRun",
			Message:        "Required",
			RetryAt:        time.Unix(0, 9),
			ReadyReplicas:  1,
			WantedReplicas: 3,
		}},
	}
	address, pool := serve(t, handler)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	query := decisions.Query{
		ID:       "ord-1",
		Team:     "kerlouan",
		AllTeams: true,
		Limit:    5,
	}
	found, err := pool.FetchDecisions(ctx, address, query)
	require.NoError(t, err)
	require.Equal(t, query, handler.query)
	require.Equal(t, handler.stored, found)
}

// A host starts with empty memory while the key-value service is down and gets all
// documents from a peer. They exceed gRPC's default limit of 4 MiB: an answer refused
// for its size would leave the host without documents for the whole outage.
func TestExchangeCarriesLargeDocuments(t *testing.T) {
	var handler fakeHandler
	for range 8 {
		handler.reply.Documents.Documents = append(handler.reply.Documents.Documents, documents.PeerDocument{
			Team:  "kerlouan",
			Value: bytes.Repeat([]byte("x"), 1<<20),
		})
	}
	address, pool := serve(t, &handler)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	theirs, err := pool.Exchange(ctx, address, Message{})
	require.NoError(t, err)
	require.Len(t, theirs.Documents.Documents, 8)
}

// A handler that fails, an unreachable peer and a closed pool must return errors, never
// an empty message, which would look like a real one.
func TestFailedCallsReturnErrors(t *testing.T) {
	address, pool := serve(t, &fakeHandler{
		err: errors.New("ending"),
	})
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	_, err := pool.Exchange(ctx, address, Message{})
	require.Error(t, err)
	_, err = pool.Claim(ctx, address, claims.Claim{})
	require.Error(t, err)
	_, err = pool.FetchBurnCounts(ctx, "127.0.0.1:1")
	require.Error(t, err)
	pool.CloseOthers(map[string]bool{
		address: true,
	})
	require.Equal(t, 1, pool.ConnectionCount())
	pool.Close()
	_, err = pool.Finish(ctx, address, claims.Finish{})
	require.Error(t, err)
}
