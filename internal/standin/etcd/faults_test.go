package etcd

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	pb "cicadaloom/internal/wire/etcdserverpb"

	"github.com/stretchr/testify/require"
)

func request(server *Server, method, path, body string) *httptest.ResponseRecorder {
	recorder := httptest.NewRecorder()
	server.AdminHandler().ServeHTTP(recorder, httptest.NewRequest(method, path, strings.NewReader(body)))
	return recorder
}

func TestFaultsOverHTTP(t *testing.T) {
	server := New(Options{})
	answer := request(server, http.MethodPost, "/faults", `{"Slow":"250ms","LoseAnswers":2,"LapseLeases":true}`)
	require.Equal(t, http.StatusOK, answer.Code)
	require.Equal(t, Faults{
		Slow:        250 * time.Millisecond,
		LoseAnswers: 2,
	}, server.Faults())
	require.JSONEq(t,
		`{"Down":false,"Slow":"250ms","MaxDelay":"0s","LoseAnswers":2,"LapseLeases":false,"SilentWatches":false}`,
		request(server, http.MethodGet, "/faults", "").Body.String())

	for _, bad := range []string{`{"Slwo":"1s"}`, `{"Slow":"-1s"}`, `{"MaxDelay":"soon"}`, `{`} {
		require.Equal(t, http.StatusBadRequest, request(server, http.MethodPost, "/faults", bad).Code, bad)
	}
	require.Equal(t, 2, server.Faults().LoseAnswers)
	require.Contains(t, request(server, http.MethodGet, "/stats", "").Body.String(), `"Puts":0`)
}

func TestDelayStaysWithinBounds(t *testing.T) {
	server := New(Options{})
	server.SetFaults(Faults{
		Slow:     10 * time.Millisecond,
		MaxDelay: 12 * time.Millisecond,
	})
	for range 50 {
		require.InDelta(t, 11*time.Millisecond, server.drawDelay(), float64(time.Millisecond))
	}
}

func TestPutWithoutLeaseDetachesKeyFromLease(t *testing.T) {
	s := newState(DefaultHistoryEvents, DefaultValueLimit)
	lease, err := s.grantLease(0, time.Second, time.Time{})
	require.NoError(t, err)
	leased := putOp("a", "1")
	leased.GetRequestPut().Lease = lease
	s.execute([]*pb.RequestOp{leased})
	s.execute([]*pb.RequestOp{putOp("a", "2")})
	require.False(t, s.expireLeases(time.Time{}.Add(time.Second-1)))
	require.True(t, s.expireLeases(time.Time{}.Add(time.Second)))
	require.Contains(t, s.keys, "a")
}

func TestSilencedWatchDeliversHeldEvents(t *testing.T) {
	server, connection := startServer(t, Options{})
	stream := openWatch(t, connection, 0)
	_, err := stream.Recv()
	require.NoError(t, err)
	server.SetFaults(Faults{
		SilentWatches: true,
	})
	first := put(t, connection, "a", "1", 0)
	second := put(t, connection, "a", "2", 0)
	require.NoError(t, stream.Send(&pb.WatchRequest{
		RequestUnion: &pb.WatchRequest_ProgressRequest{},
	}))
	server.SetFaults(Faults{})
	response, err := stream.Recv()
	require.NoError(t, err)
	require.Len(t, response.Events, 2)
	require.Equal(t, first.Header.Revision, response.Events[0].Kv.ModRevision)
	require.Equal(t, second.Header.Revision, response.Events[1].Kv.ModRevision)
	response, err = stream.Recv()
	require.NoError(t, err)
	require.EqualValues(t, progressWatchID, response.WatchId)
	require.Equal(t, second.Header.Revision, response.Header.Revision)
}

func TestProgressNotifyAndCancel(t *testing.T) {
	server, connection := startServer(t, Options{
		ProgressNotifyTime: time.Millisecond,
	})
	stream := openWatch(t, connection, 0)
	created, err := stream.Recv()
	require.NoError(t, err)
	require.True(t, created.Created)
	notice, err := stream.Recv()
	require.NoError(t, err)
	require.Equal(t, created.WatchId, notice.WatchId)
	require.Empty(t, notice.Events)
	require.Equal(t, created.Header.Revision, notice.Header.Revision)
	require.NoError(t, stream.Send(&pb.WatchRequest{
		RequestUnion: &pb.WatchRequest_CancelRequest{
			CancelRequest: &pb.WatchCancelRequest{
				WatchId: created.WatchId,
			},
		},
	}))
	for response := notice; !response.Canceled; {
		response, err = stream.Recv()
		require.NoError(t, err)
	}
	require.Zero(t, server.Stats().WatchesOpen)
}

func TestRestartKeepsContents(t *testing.T) {
	server, connection := startServer(t, Options{})
	put(t, connection, "a", "1", 0)
	require.NoError(t, server.Stop())
	require.NoError(t, server.Stop())
	address, err := server.Start("127.0.0.1:0")
	require.NoError(t, err)
	_, err = server.Start(address.String())
	require.Error(t, err)
	require.Len(t, server.state.findRange(keyRange{
		key: "a",
	}), 1)
}

func TestCompactedWatchIsCanceled(t *testing.T) {
	_, connection := startServer(t, Options{
		HistoryEvents: 2,
	})
	for _, value := range []string{"1", "2", "3"} {
		put(t, connection, "a", value, 0) // revisions 2, 3 and 4
	}
	stream := openWatch(t, connection, 2)
	_, err := stream.Recv()
	require.NoError(t, err)
	response, err := stream.Recv()
	require.NoError(t, err)
	require.True(t, response.Canceled)
	require.EqualValues(t, 3, response.CompactRevision)

	stream = openWatch(t, connection, response.CompactRevision)
	_, err = stream.Recv()
	require.NoError(t, err)
	response, err = stream.Recv()
	require.NoError(t, err)
	require.Len(t, response.Events, 2)
}
