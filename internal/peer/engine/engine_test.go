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
	patience = 10 * time.Second
	tick     = 2 * time.Millisecond
)

// bench is an engine with the model briefing ready, and a client of it.
type bench struct {
	*standin.Engine
	client  engine.Client
	address string
}

func newBench(t *testing.T, options standin.Options) *bench {
	options.FirstToken = time.Millisecond
	options.PerToken = time.Millisecond
	options.LoadDelay = time.Millisecond
	b := &bench{
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
		report, err := b.client.Report(context.Background(), b.address)
		return err == nil && len(report.Settled) == 1 && report.Settled[0].Result == backend.OrderDone
	}, patience, tick)
	return b
}

func call(attempt ident.AttemptID, tokens int, stream bool) engine.Call {
	body := `{"model":"briefing","stream":` + strconv.FormatBool(stream) + `,"max_tokens":` + strconv.Itoa(tokens) +
		`,"messages":[{"role":"user","content":"drift at 8 km"}]}`
	return engine.Call{
		Body:      []byte(body),
		RequestID: "req-1",
		AttemptID: attempt,
		Stream:    stream,
	}
}

// read takes a stream to its end or error, and returns its text.
func read(stream *engine.Stream) (string, int, error) {
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

func (b *bench) chat(t *testing.T, call engine.Call) (string, int, error) {
	stream, err := b.client.Chat(context.Background(), b.address, call)
	require.NoError(t, err)
	defer stream.Close()
	return read(stream)
}

func TestAnswersComeWhole(t *testing.T) {
	b := newBench(t, standin.Options{})
	streamed, tokens, err := b.chat(t, call("att-1", 5, true))
	require.NoError(t, err)
	require.Equal(t, 5, tokens)
	require.True(t, strings.HasPrefix(streamed, "briefing/3: echo of drift at 8 km w0-"), streamed)
	whole, _, err := b.chat(t, call("att-2", 5, false))
	require.NoError(t, err)
	require.Equal(t, streamed, whole)
	require.Equal(t, 2, b.Stats().Runs["req-1"])
}

// A crew reads half a drift briefing as if it were all of it. The engine died,
// or ended its answer in order but early, and its host took the end of the
// connection for the end of the answer.
func TestAnAnswerWithoutItsEndIsNoAnswer(t *testing.T) {
	b := newBench(t, standin.Options{})
	for _, c := range []struct {
		name   string
		faults standin.Faults
		stream bool
		want   error
	}{
		{"cut", standin.Faults{CutStreamAfter: 3}, true, engine.ErrCutStream},
		{"ended early", standin.Faults{EndStreamEarly: 3}, true, engine.ErrCutStream},
		{"malformed", standin.Faults{BreakStreamAfter: 3}, true, engine.ErrBrokenStream},
		{"malformed whole", standin.Faults{BreakStreamAfter: 3}, false, engine.ErrBrokenStream},
	} {
		t.Run(c.name, func(t *testing.T) {
			b.Faults.Set(c.faults)
			_, tokens, err := b.chat(t, call("att-1", 9, c.stream))
			require.ErrorIs(t, err, c.want)
			if c.stream {
				require.Equal(t, 3, tokens)
			}
		})
	}
}

// A briefing shows a passage twice, or lacks one, after an engine died in
// mid-answer: the host resumed the stream at the wrong token.
func TestAResumedStreamFitsItsBeginning(t *testing.T) {
	b := newBench(t, standin.Options{})
	whole, _, err := b.chat(t, call("att-1", 9, true))
	require.NoError(t, err)
	b.Faults.Set(standin.Faults{
		CutStreamAfter: 4,
	})
	begun, tokens, err := b.chat(t, call("att-2", 9, true))
	require.ErrorIs(t, err, engine.ErrCutStream)
	b.Faults.Set(standin.Faults{})
	resumed := call("att-3", 9, true)
	resumed.ResumeAt = tokens
	rest, tokens, err := b.chat(t, resumed)
	require.NoError(t, err)
	require.Equal(t, 9, tokens)
	require.Equal(t, whole, begun+rest)
}

// fake answers each request as the handler says.
func fake(t *testing.T, handler http.HandlerFunc) string {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// A caller reads its neighbour's answer. The engine mixed up two answers that
// were late, or a new process at the same address answers for the dead one.
func TestAForeignAnswerIsRefused(t *testing.T) {
	var client engine.Client
	defer client.Close()
	address := fake(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(engineapi.HeaderAttempt, "att-1")
		w.Header().Set(engineapi.HeaderIncarnation, "inc-2")
	})
	_, err := client.Chat(context.Background(), address, call("att-2", 1, true))
	require.ErrorIs(t, err, engine.ErrForeignAnswer)
	earlier := call("att-1", 1, true)
	earlier.Incarnation = "inc-1"
	_, err = client.Chat(context.Background(), address, earlier)
	require.ErrorIs(t, err, engine.ErrForeignAnswer)
	earlier.Incarnation = "inc-2"
	stream, err := client.Chat(context.Background(), address, earlier)
	require.NoError(t, err)
	require.EqualValues(t, "inc-2", stream.Incarnation())
	stream.Close()
}

// A dispatch goes out twice: its host took another attempt's "not run" for
// its own and tried again.
func TestProofIsForItsOwnAttempt(t *testing.T) {
	var client engine.Client
	defer client.Close()
	address := fake(t, func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		w.Header().Set(engineapi.HeaderAttempt, "att-1")
		w.Header().Set(engineapi.HeaderNotRun, engineapi.NotRunProof)
		w.Header().Set("Retry-After", "2")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	for attempt, proven := range map[ident.AttemptID]bool{"att-1": true, "att-2": false} {
		_, err := client.Chat(context.Background(), address, call(attempt, 1, true))
		var refusal *engine.Refusal
		require.True(t, errors.As(err, &refusal))
		require.Equal(t, http.StatusServiceUnavailable, refusal.Status)
		require.True(t, refusal.Sent)
		require.Equal(t, proven, refusal.ProvesNotRun())
		require.True(t, refusal.RetryAfter.After(time.Now()))
	}
}

func TestRefusalsSayWhetherSent(t *testing.T) {
	b := newBench(t, standin.Options{})
	var refusal *engine.Refusal

	unknown := call("att-1", 1, true)
	unknown.Body = []byte(`{"model":"nobody"}`)
	_, err := b.client.Chat(context.Background(), b.address, unknown)
	require.True(t, errors.As(err, &refusal))
	require.Equal(t, http.StatusNotFound, refusal.Status)
	require.True(t, refusal.ProvesNotRun())

	b.Faults.Set(standin.Faults{
		Down: true,
	})
	_, err = b.client.Chat(context.Background(), b.address, call("att-2", 1, true))
	require.True(t, errors.As(err, &refusal))
	require.Zero(t, refusal.Status)
	require.False(t, refusal.ProvesNotRun(), "a connection came about")

	free, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	free.Close()
	_, err = b.client.Chat(context.Background(), free.Addr().String(), call("att-3", 1, true))
	require.True(t, errors.As(err, &refusal))
	require.True(t, refusal.ProvesNotRun(), "connection refused")
}

// A host's memory grows without end under an engine out of order, or its
// caller gets a chunk that is not the API's.
func TestStreamsOfAnotherFormBreak(t *testing.T) {
	var client engine.Client
	defer client.Close()
	const chunk = `{"object":"chat.completion.chunk","choices":[{"delta":{"content":"a"}}]}`
	for _, c := range []struct {
		name string
		kind string
		body string
		want error
	}{
		{"huge event", engineapi.ContentTypeStream, "data: " + strings.Repeat("x", 1<<20) + "\n\n", engine.ErrBrokenStream},
		{"no stream", "application/json", "{}", engine.ErrBrokenStream},
		{"error chunk", engineapi.ContentTypeStream, `data: {"error":{"message":"oops"}}` + "\n\ndata: [DONE]\n\n", engine.ErrBrokenStream},
		{"end mark cut", engineapi.ContentTypeStream, "data: " + chunk + "\n\ndata: [DONE]", engine.ErrCutStream},
		{"chunk cut", engineapi.ContentTypeStream, "data: " + chunk[:20], engine.ErrCutStream},
	} {
		t.Run(c.name, func(t *testing.T) {
			address := fake(t, func(w http.ResponseWriter, r *http.Request) {
				io.Copy(io.Discard, r.Body)
				w.Header().Set(engineapi.HeaderAttempt, "att-1")
				w.Header().Set("Content-Type", c.kind)
				io.WriteString(w, c.body)
			})
			stream, err := client.Chat(context.Background(), address, call("att-1", 1, true))
			require.NoError(t, err)
			defer stream.Close()
			_, _, err = read(stream)
			require.ErrorIs(t, err, c.want)
			_, again := stream.Next()
			require.Equal(t, err, again, "an error stays")
		})
	}
}

// Engines go on generating for callers that hung up, and have no slots for
// those that wait.
func TestCloseCancelsAtTheEngine(t *testing.T) {
	b := newBench(t, standin.Options{})
	stream, err := b.client.Chat(context.Background(), b.address, call("att-1", 4000, true))
	require.NoError(t, err)
	_, err = stream.Next()
	require.NoError(t, err)
	stream.Close()
	_, err = stream.Next()
	require.ErrorIs(t, err, context.Canceled)
	require.Eventually(t, func() bool { return b.Stats().Cancelled == 1 }, patience, tick)

	stream, err = b.client.Chat(context.Background(), b.address, call("att-2", 4000, true))
	require.NoError(t, err)
	require.NoError(t, b.client.Cancel(context.Background(), b.address, "att-2"))
	_, _, err = read(stream)
	require.ErrorIs(t, err, engine.ErrCutStream)
	stream.Close()
	require.NoError(t, b.client.Cancel(context.Background(), b.address, "att-2"), "unknown attempts are no error")
	require.Eventually(t, func() bool { return b.Stats().Cancelled == 2 }, patience, tick)
}

// Each request pays a connection set-up over the slow link, since the host
// closes a stream before the last bytes of its HTTP body.
func TestAWholeStreamLeavesItsConnection(t *testing.T) {
	var client engine.Client
	defer client.Close()
	connections := make(map[string]int)
	ended := make(chan struct{})
	address := fake(t, func(w http.ResponseWriter, r *http.Request) {
		connections[r.RemoteAddr]++
		io.Copy(io.Discard, r.Body)
		w.Header().Set(engineapi.HeaderAttempt, "att-1")
		w.Header().Set("Content-Type", engineapi.ContentTypeStream)
		io.WriteString(w, "data: [DONE]\n\n")
		http.NewResponseController(w).Flush()
		<-ended // so that the body's end comes after the end mark was read
	})
	for range 5 {
		stream, err := client.Chat(context.Background(), address, call("att-1", 1, true))
		require.NoError(t, err)
		_, _, err = read(stream)
		require.NoError(t, err)
		ended <- struct{}{}
		stream.Close()
	}
	require.Len(t, connections, 1)
}

// A planner frees memory that a lost or late order still takes: it held an
// order for refused whose answer it never got.
func TestAnOrderWithoutAnswerIsInDoubt(t *testing.T) {
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
			_, _, err := client.SendOrder(context.Background(), fake(t, c.answer), order)
			require.Error(t, err)
		})
	}
}
