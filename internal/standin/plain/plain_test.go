package plain

import (
	"context"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"gopkg.in/tomb.v2"

	"cicadaloom/internal/domain/ident"
	peer "cicadaloom/internal/peer/plain"
	"cicadaloom/internal/standin/fault"
)

const (
	waitTimeout  = 10 * time.Second
	pollInterval = 2 * time.Millisecond
)

type testService struct {
	*Service
	client  peer.Client
	address string
}

func startService(t *testing.T, options Options) *testService {
	b := &testService{
		Service: New(options),
	}
	var err error
	b.address, err = b.Start("127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() {
		b.client.Close()
		require.NoError(t, b.Stop())
	})
	return b
}

func (b *testService) send(ctx context.Context, request ident.RequestID) error {
	_, refusal := b.client.Do(ctx, b.address, &peer.Request{
		Method:    http.MethodPost,
		Path:      "/reservations",
		Body:      []byte("wig 12"),
		RequestID: request,
		Once:      true,
	})
	if refusal != nil {
		return refusal
	}
	return nil
}

func (b *testService) runningCount() int {
	return len(b.slots)
}

// A service that was frozen while its client timed out runs the request when it
// resumes: the error that the client gets must not prove that it was not run.
func TestFrozenServiceRunsAbandonedRequest(t *testing.T) {
	b := startService(t, Options{})
	b.Faults.Set(Faults{
		FreezeRequests: true,
	})
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
	defer cancel()
	var refusal *peer.Refusal
	require.ErrorAs(t, b.send(ctx, "req-1"), &refusal)
	require.False(t, refusal.ProvesNotRun())
	require.Zero(t, b.Stats().Runs["req-1"])
	b.Faults.Set(Faults{})
	require.Eventually(t, func() bool { return b.Stats().Runs["req-1"] == 1 }, waitTimeout, pollInterval)

	b.Faults.Set(Faults{
		Down: true,
	})
	require.Error(t, b.send(context.Background(), "req-3"))
	require.Zero(t, b.Stats().Runs["req-3"])
}

func TestFullServiceRefusesAndStopWaits(t *testing.T) {
	b := startService(t, Options{
		Slots:      1,
		QueueLimit: 1,
	})
	b.Faults.Set(Faults{
		WorkFor: fault.Duration(100 * time.Millisecond),
	})
	var callers tomb.Tomb
	callers.Go(func() error { return b.send(context.Background(), "req-1") })
	require.Eventually(t, func() bool { return b.runningCount() == 1 }, waitTimeout, pollInterval)
	callers.Go(func() error { return b.send(context.Background(), "req-2") })
	require.Eventually(t, func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.waiting == 1
	}, waitTimeout, pollInterval)
	var refusal *peer.Refusal
	require.ErrorAs(t, b.send(context.Background(), "req-3"), &refusal)
	require.True(t, refusal.ProvesNotRun())
	require.NoError(t, b.Stop())
	require.NoError(t, callers.Wait())
	require.Equal(t, map[ident.RequestID]int{"req-1": 1, "req-2": 1}, b.Stats().Runs)
	require.Equal(t, 1, b.Stats().Refused)
}

func TestRunCountsAreBounded(t *testing.T) {
	service := New(Options{})
	body := []byte("x")
	for i := range maxCountedRuns {
		service.stats.Runs[ident.RequestID(strconv.Itoa(i))] = 1
	}
	require.Zero(t, service.countRun("new", body))
	require.Equal(t, 1, service.Stats().RunsNotKept)
	require.Len(t, service.stats.Runs, maxCountedRuns)
}
