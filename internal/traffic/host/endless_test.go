package host

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	tomb "gopkg.in/tomb.v2"

	"cicadaloom/internal/control/heldbytes"
	"cicadaloom/internal/domain/unit"
	"cicadaloom/internal/peer/engine"
	"cicadaloom/internal/peer/plain"
	"cicadaloom/internal/wire/engineapi"
)

// startEndless runs a backend server whose answers have no end.
func startEndless(t *testing.T) string {
	repeated := strings.Repeat("x", 64<<10)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		for _, name := range []string{engineapi.HeaderAttempt, engineapi.HeaderRequest} {
			w.Header().Set(name, r.Header.Get(name))
		}
		_, err := io.WriteString(w, repeated)
		for err == nil {
			_, err = io.WriteString(w, repeated)
		}
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// maxHeap returns the largest heap, garbage included, until a function returns.
func maxHeap(t *testing.T, run func()) unit.Bytes {
	runtime.GC()
	var sampling tomb.Tomb
	largest := uint64(0)
	sampling.Go(func() error {
		ticker := time.NewTicker(2 * time.Millisecond)
		defer ticker.Stop()
		for {
			var stats runtime.MemStats
			runtime.ReadMemStats(&stats)
			largest = max(largest, stats.HeapAlloc)
			select {
			case <-ticker.C:
			case <-sampling.Dying():
				return nil
			}
		}
	})
	run()
	sampling.Kill(nil)
	require.NoError(t, sampling.Wait())
	return unit.Bytes(largest)
}

// Load: 128 calls at once to backend servers whose answers have no end. Guards against a process that
// is killed for its memory.
func TestAnswersWithoutEndAreBounded(t *testing.T) {
	const limit = 32 * unit.Mebibyte
	budget := heldbytes.New(limit, maxAnswerBytes)
	var engines engine.Client
	defer engines.Close()
	engines.UseHeldBytes(budget)
	var services plain.Client
	defer services.Close()
	services.UseHeldBytes(budget)
	address := startEndless(t)
	for name, call := range map[string]func(ctx context.Context) error{
		"engine's answer": func(ctx context.Context) error {
			stream, err := engines.Chat(ctx, address, engine.Call{
				AttemptID: "a-1",
			})
			require.NoError(t, err)
			defer stream.Close()
			_, err = stream.Next()
			return err
		},
		"engine's report": func(ctx context.Context) error {
			_, err := engines.FetchReport(ctx, address)
			return err
		},
		"engine's cache events": func(ctx context.Context) error {
			_, err := engines.FetchCacheEvents(ctx, address, 0)
			return err
		},
		"service's answer": func(ctx context.Context) error {
			_, refusal := services.Do(ctx, address, &plain.Request{
				Method:    http.MethodPost,
				Path:      "/dispatch",
				RequestID: "r-1",
			})
			require.NotNil(t, refusal)
			return refusal
		},
	} {
		t.Run(name, func(t *testing.T) {
			largest := maxHeap(t, func() {
				ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
				defer cancel()
				var calls tomb.Tomb
				for range 128 {
					calls.Go(func() error {
						require.Error(t, call(ctx))
						return nil
					})
				}
				require.NoError(t, calls.Wait())
			})
			t.Logf("largest heap %s", largest)
			require.Less(t, largest, 4*limit)
			require.Zero(t, budget.Stats().Held)
		})
	}
}

// Guards against a host whose bodies have no bound.
func TestHeldBytesHaveABound(t *testing.T) {
	limit := newHeldBytes().Stats().Limit
	require.Positive(t, limit)
	require.Greater(t, limit, maxAnswerBytes)
}
