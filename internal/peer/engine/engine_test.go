package engine_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/unit"
	"cicadaloom/internal/peer/engine"
	standin "cicadaloom/internal/standin/engine"
	"cicadaloom/internal/wire/engineapi"
)

const (
	testTimeout  = 10 * time.Second
	pollInterval = 2 * time.Millisecond
)

// testEngine is a simulated engine with the model briefing ready, and a client of it.
type testEngine struct {
	*standin.Engine
	client  engine.Client
	address string
}

func newTestEngine(t *testing.T, options standin.Options) *testEngine {
	options.FirstTokenTime = time.Millisecond
	options.TimePerToken = time.Millisecond
	options.LoadDelay = time.Millisecond
	b := &testEngine{
		Engine: standin.New(options),
	}
	var err error
	b.address, err = b.Start("127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() {
		b.client.Close()
		require.NoError(t, b.Stop())
	})
	accepted, reason, err := b.client.SendOrder(context.Background(), b.address, backend.Order{
		ID:          "load",
		Incarnation: b.Incarnation(),
		Kind:        backend.LoadModel,
		Model:       "briefing",
		Version:     "3",
		Memory:      unit.Gibibyte,
	})
	require.NoError(t, err)
	require.True(t, accepted, reason)
	require.Eventually(t, func() bool {
		report, err := b.client.FetchReport(context.Background(), b.address)
		return err == nil && len(report.Settled) == 1 && report.Settled[0].Result == backend.OrderDone
	}, testTimeout, pollInterval)
	return b
}

func newCall(attempt ident.AttemptID, tokens int, stream bool) engine.Call {
	body := `{"model":"briefing","stream":` + strconv.FormatBool(stream) + `,"max_tokens":` + strconv.Itoa(tokens) +
		`,"messages":[{"role":"user","content":"drift at 8 km"}]}`
	return engine.Call{
		Body:      []byte(body),
		RequestID: "req-1",
		AttemptID: attempt,
		Stream:    stream,
	}
}

// readStream reads a stream up to its end or an error, and returns its text and token
// count.
func readStream(stream *engine.Stream) (string, int, error) {
	var text strings.Builder
	tokens := 0
	for {
		event, err := stream.Next()
		if err != nil {
			return text.String(), tokens, err
		}
		switch event := event.(type) {
		case engine.Chunk:
			chunk, err := engineapi.ParseChunk(event.Raw)
			if err != nil {
				return "", 0, err
			}
			text.WriteString(chunk.Text)
			tokens = event.Tokens
		case engine.Whole:
			whole, _, err := engineapi.ParseWhole(event.Raw)
			if err != nil {
				return "", 0, err
			}
			text.WriteString(whole)
		case engine.End:
			return text.String(), tokens, nil
		}
	}
}

func (b *testEngine) chat(t *testing.T, call engine.Call) (string, int, error) {
	stream, err := b.client.Chat(context.Background(), b.address, call)
	require.NoError(t, err)
	defer stream.Close()
	return readStream(stream)
}

func TestStreamedAndWholeAnswersMatch(t *testing.T) {
	b := newTestEngine(t, standin.Options{})
	streamed, tokens, err := b.chat(t, newCall("att-1", 5, true))
	require.NoError(t, err)
	require.Equal(t, 5, tokens)
	require.True(t, strings.HasPrefix(streamed, "briefing/3: echo of drift at 8 km w0-"), streamed)
	whole, _, err := b.chat(t, newCall("att-2", 5, false))
	require.NoError(t, err)
	require.Equal(t, streamed, whole)
	require.Equal(t, 2, b.Stats().Runs["req-1"])
}

// An engine crashes, or ends its answer early without an error. If the client took the
// end of the connection for the end of the answer, the caller would take a part of the
// text for all of it.
func TestIncompleteAnswersAreErrors(t *testing.T) {
	b := newTestEngine(t, standin.Options{})
	for _, c := range []struct {
		name   string
		faults standin.Faults
		stream bool
		want   error
	}{
		{"cut", standin.Faults{CutStreamAfter: 3}, true, engine.ErrTruncatedStream},
		{"ended early", standin.Faults{EndStreamEarly: 3}, true, engine.ErrTruncatedStream},
		{"malformed", standin.Faults{BreakStreamAfter: 3}, true, engine.ErrMalformedStream},
		{"malformed whole", standin.Faults{BreakStreamAfter: 3}, false, engine.ErrMalformedStream},
	} {
		t.Run(c.name, func(t *testing.T) {
			b.Faults.Set(c.faults)
			_, tokens, err := b.chat(t, newCall("att-1", 9, c.stream))
			require.ErrorIs(t, err, c.want)
			if c.stream {
				require.Equal(t, 3, tokens)
			}
		})
	}
}

// An engine crashes in the middle of an answer and the stream is resumed. If it resumed
// at the wrong token, the text would repeat or lack a passage.
func TestResumedStreamContinuesAtToken(t *testing.T) {
	b := newTestEngine(t, standin.Options{})
	whole, _, err := b.chat(t, newCall("att-1", 9, true))
	require.NoError(t, err)
	b.Faults.Set(standin.Faults{
		CutStreamAfter: 4,
	})
	beginning, tokens, err := b.chat(t, newCall("att-2", 9, true))
	require.ErrorIs(t, err, engine.ErrTruncatedStream)
	b.Faults.Set(standin.Faults{})
	resumed := newCall("att-3", 9, true)
	resumed.ResumeAt = tokens
	rest, tokens, err := b.chat(t, resumed)
	require.NoError(t, err)
	require.Equal(t, 9, tokens)
	require.Equal(t, whole, beginning+rest)
}

// startServer starts an HTTP server with the handler and returns its address.
func startServer(t *testing.T, handler http.HandlerFunc) string {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// An engine mixes up two late answers, or a new process at the same address answers for
// a crashed one. A caller would read another caller's answer.
func TestMismatchedAnswersAreRejected(t *testing.T) {
	var client engine.Client
	defer client.Close()
	address := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(engineapi.HeaderAttempt, "att-1")
		w.Header().Set(engineapi.HeaderIncarnation, "inc-2")
	})
	_, err := client.Chat(context.Background(), address, newCall("att-2", 1, true))
	require.ErrorIs(t, err, engine.ErrMismatchedAnswer)
	earlier := newCall("att-1", 1, true)
	earlier.Incarnation = "inc-1"
	_, err = client.Chat(context.Background(), address, earlier)
	require.ErrorIs(t, err, engine.ErrMismatchedAnswer)
	earlier.Incarnation = "inc-2"
	stream, err := client.Chat(context.Background(), address, earlier)
	require.NoError(t, err)
	require.EqualValues(t, "inc-2", stream.Incarnation())
	stream.Close()
}

// A response carries the "not run" of another attempt. If the client took it for its
// own, the request would be retried and run twice.
func TestNotRunProofCountsForOwnAttemptOnly(t *testing.T) {
	var client engine.Client
	defer client.Close()
	address := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		w.Header().Set(engineapi.HeaderAttempt, "att-1")
		w.Header().Set(engineapi.HeaderNotRun, engineapi.NotRunProof)
		w.Header().Set("Retry-After", "2")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	for attempt, proven := range map[ident.AttemptID]bool{"att-1": true, "att-2": false} {
		_, err := client.Chat(context.Background(), address, newCall(attempt, 1, true))
		var refusal *engine.Refusal
		require.True(t, errors.As(err, &refusal))
		require.Equal(t, http.StatusServiceUnavailable, refusal.Status)
		require.True(t, refusal.Sent)
		require.Equal(t, proven, refusal.ProvesNotRun())
		require.True(t, refusal.RetryAfter.After(time.Now()))
	}
}

func TestRefusalsReportWhetherRequestWasRun(t *testing.T) {
	b := newTestEngine(t, standin.Options{})
	var refusal *engine.Refusal

	unknown := newCall("att-1", 1, true)
	unknown.Body = []byte(`{"model":"nobody"}`)
	_, err := b.client.Chat(context.Background(), b.address, unknown)
	require.True(t, errors.As(err, &refusal))
	require.Equal(t, http.StatusNotFound, refusal.Status)
	require.True(t, refusal.ProvesNotRun())

	b.Faults.Set(standin.Faults{
		Down: true,
	})
	_, err = b.client.Chat(context.Background(), b.address, newCall("att-2", 1, true))
	require.True(t, errors.As(err, &refusal))
	require.Zero(t, refusal.Status)
	require.False(t, refusal.ProvesNotRun(), "a connection was established")

	free, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	free.Close()
	_, err = b.client.Chat(context.Background(), free.Addr().String(), newCall("att-3", 1, true))
	require.True(t, errors.As(err, &refusal))
	require.True(t, refusal.ProvesNotRun(), "connection refused")
}

// A faulty engine sends an event without end, which would use up the host's memory, or
// a chunk in a format that the API does not have.
func TestMalformedStreamsAreErrors(t *testing.T) {
	var client engine.Client
	defer client.Close()
	const chunk = `{"object":"chat.completion.chunk","choices":[{"delta":{"content":"a"}}]}`
	for _, c := range []struct {
		name string
		kind string
		body string
		want error
	}{
		{"huge event", engineapi.ContentTypeStream, "data: " + strings.Repeat("x", 1<<20) + "\n\n", engine.ErrMalformedStream},
		{"no stream", "application/json", "{}", engine.ErrMalformedStream},
		{"error chunk", engineapi.ContentTypeStream, `data: {"error":{"message":"oops"}}` + "\n\ndata: [DONE]\n\n", engine.ErrMalformedStream},
		{"end mark cut", engineapi.ContentTypeStream, "data: " + chunk + "\n\ndata: [DONE]", engine.ErrTruncatedStream},
		{"chunk cut", engineapi.ContentTypeStream, "data: " + chunk[:20], engine.ErrTruncatedStream},
	} {
		t.Run(c.name, func(t *testing.T) {
			address := startServer(t, func(w http.ResponseWriter, r *http.Request) {
				io.Copy(io.Discard, r.Body)
				w.Header().Set(engineapi.HeaderAttempt, "att-1")
				w.Header().Set("Content-Type", c.kind)
				io.WriteString(w, c.body)
			})
			stream, err := client.Chat(context.Background(), address, newCall("att-1", 1, true))
			require.NoError(t, err)
			defer stream.Close()
			_, _, err = readStream(stream)
			require.ErrorIs(t, err, c.want)
			_, again := stream.Next()
			require.Equal(t, err, again, "later calls return the same error")
		})
	}
}

// Engines must not go on generating for callers that have disconnected: the slots would
// be missing for waiting requests.
func TestCloseCancelsRequestAtEngine(t *testing.T) {
	b := newTestEngine(t, standin.Options{})
	stream, err := b.client.Chat(context.Background(), b.address, newCall("att-1", 4000, true))
	require.NoError(t, err)
	_, err = stream.Next()
	require.NoError(t, err)
	stream.Close()
	_, err = stream.Next()
	require.ErrorIs(t, err, context.Canceled)
	require.Eventually(t, func() bool { return b.Stats().Cancelled == 1 }, testTimeout, pollInterval)

	stream, err = b.client.Chat(context.Background(), b.address, newCall("att-2", 4000, true))
	require.NoError(t, err)
	require.NoError(t, b.client.Cancel(context.Background(), b.address, "att-2"))
	_, _, err = readStream(stream)
	require.ErrorIs(t, err, engine.ErrTruncatedStream)
	stream.Close()
	require.NoError(t, b.client.Cancel(context.Background(), b.address, "att-2"), "unknown attempts are no error")
	require.Eventually(t, func() bool { return b.Stats().Cancelled == 2 }, testTimeout, pollInterval)
}

// If Close came before the last bytes of the HTTP body were read, each request would
// need a new connection over a slow link.
func TestCompletedStreamKeepsItsConnection(t *testing.T) {
	var client engine.Client
	defer client.Close()
	connections := make(map[string]int)
	ended := make(chan struct{})
	address := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		connections[r.RemoteAddr]++
		io.Copy(io.Discard, r.Body)
		w.Header().Set(engineapi.HeaderAttempt, "att-1")
		w.Header().Set("Content-Type", engineapi.ContentTypeStream)
		io.WriteString(w, "data: [DONE]\n\n")
		http.NewResponseController(w).Flush()
		<-ended // the body ends only after the client has read the end marker
	})
	for range 5 {
		stream, err := client.Chat(context.Background(), address, newCall("att-1", 1, true))
		require.NoError(t, err)
		_, _, err = readStream(stream)
		require.NoError(t, err)
		ended <- struct{}{}
		stream.Close()
	}
	require.Len(t, connections, 1)
}

// An order whose answer was lost may still be carried out. If it counted as refused,
// the planner would use memory that the order takes.
func TestOrderWithoutAnswerIsAnError(t *testing.T) {
	var client engine.Client
	defer client.Close()
	order := backend.Order{
		ID:    "ord-1",
		Kind:  backend.LoadModel,
		Model: "m",
	}
	for _, c := range []struct {
		name   string
		answer http.HandlerFunc
	}{
		{"cut", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }},
		{"fails", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }},
		{"contradicts", func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusConflict)
			io.WriteString(w, `{"Accepted":true}`)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, _, err := client.SendOrder(context.Background(), startServer(t, c.answer), order)
			require.Error(t, err)
		})
	}
}
