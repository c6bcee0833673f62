package plain_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"cicadaloom/internal/peer/plain"
	standin "cicadaloom/internal/standin/plain"
)

func dispatchRequest() *plain.Request {
	return &plain.Request{
		Method: http.MethodPost,
		Path:   "/dispatch?boat=4",
		Header: http.Header{
			"Connection":     []string{"X-Secret"},
			"X-Secret":       []string{"of this hop"},
			"X-Request-Id":   []string{"of the caller"},
			"Accept":         []string{"application/json"},
			"Content-Length": []string{"99"},
		},
		Body:      []byte("boat 4"),
		RequestID: "req-1",
		Once:      true,
	}
}

func startService(t *testing.T) (*standin.Service, string) {
	service := standin.New(standin.Options{})
	address, err := service.Start("127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, service.Stop()) })
	return service, address
}

// A service runs a request and its answer is lost. If the client reported "not run",
// the caller would send it again and it would run twice.
func TestLostAnswerIsNoProofOfNotRun(t *testing.T) {
	var client plain.Client
	defer client.Close()
	service, address := startService(t)

	answer, refusal := client.Do(context.Background(), address, dispatchRequest())
	require.Nil(t, refusal)
	require.Equal(t, http.StatusOK, answer.Status)
	require.JSONEq(t, `{"Method":"POST","Path":"/dispatch?boat=4","Body":"boat 4","Run":1}`, string(answer.Body))

	service.Faults.Set(standin.Faults{
		CutAfterRun: 1,
	})
	_, refusal = client.Do(context.Background(), address, dispatchRequest())
	require.NotNil(t, refusal)
	require.False(t, refusal.ProvesNotRun())
	require.Equal(t, 2, service.Stats().Runs["req-1"])
	require.Equal(t, 2, service.Stats().RunsOfBody[standin.BodyHash([]byte("boat 4"))])

	service.Faults.Set(standin.Faults{
		Refuse: true,
	})
	_, refusal = client.Do(context.Background(), address, dispatchRequest())
	require.NotNil(t, refusal)
	require.True(t, refusal.ProvesNotRun())
	require.False(t, refusal.RetryAfter.IsZero())
	require.Equal(t, 2, service.Stats().Runs["req-1"])
}

func TestNoConnectionProvesNotRun(t *testing.T) {
	var client plain.Client
	defer client.Close()
	free, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	free.Close()
	_, refusal := client.Do(context.Background(), free.Addr().String(), dispatchRequest())
	require.NotNil(t, refusal)
	require.True(t, refusal.ProvesNotRun())
}

func TestHopByHopHeadersAreNotForwarded(t *testing.T) {
	var client plain.Client
	defer client.Close()
	var got http.Header
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got = r.Header
		io.Copy(io.Discard, r.Body)
		w.Header().Set("Keep-Alive", "timeout=5")
		w.Header().Set("X-Boat", "4")
		w.WriteHeader(http.StatusInternalServerError)
	}))
	defer server.Close()
	answer, refusal := client.Do(context.Background(), server.Listener.Addr().String(), dispatchRequest())
	require.Nil(t, refusal, "an error status is an answer too")
	require.Equal(t, http.StatusInternalServerError, answer.Status)
	require.Equal(t, "4", answer.Header.Get("X-Boat"))
	require.Empty(t, answer.Header.Get("Keep-Alive"))
	require.Empty(t, got.Get("X-Secret"))
	require.Equal(t, "req-1", got.Get("X-Request-Id"))
	require.Equal(t, "6", got.Get("Content-Length"))
}

// A caller must not get the answer to another request, and an endless answer must not
// use up the memory of the host. Neither is forwarded, and neither proves that the
// request was not run.
func TestMismatchedAndHugeAnswersAreRejected(t *testing.T) {
	var client plain.Client
	defer client.Close()
	for name, handler := range map[string]http.HandlerFunc{
		"foreign": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Request-Id", "req-2")
			w.Header().Set("X-Not-Run", "true")
			w.WriteHeader(http.StatusServiceUnavailable)
		},
		"huge": func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, strings.Repeat("x", 9<<20)) },
		"cut": func(w http.ResponseWriter, _ *http.Request) {
			io.WriteString(w, "half")
			http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(handler)
			defer server.Close()
			_, refusal := client.Do(context.Background(), server.Listener.Addr().String(), dispatchRequest())
			require.NotNil(t, refusal)
			require.False(t, refusal.ProvesNotRun())
		})
	}
}

func TestReport(t *testing.T) {
	var client plain.Client
	defer client.Close()
	service, address := startService(t)
	report, err := client.FetchReport(context.Background(), address)
	require.NoError(t, err)
	require.Equal(t, standin.DefaultSlots, report.Slots)
	require.False(t, report.Leaving)
	service.Leave()
	report, err = client.FetchReport(context.Background(), address)
	require.NoError(t, err)
	require.True(t, report.Leaving)
}
