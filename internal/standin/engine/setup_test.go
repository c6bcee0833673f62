package engine

import (
	"context"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/unit"
	peer "cicadaloom/internal/peer/engine"
)

const (
	waitTimeout  = 10 * time.Second
	pollInterval = 2 * time.Millisecond
)

// testEngine is a running engine with a client of it.
type testEngine struct {
	*Engine
	t       *testing.T
	client  peer.Client
	address string
}

func startEngine(t *testing.T, options Options) *testEngine {
	b := &testEngine{
		Engine: New(options),
		t:      t,
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

// shortTimes returns options with times short enough for tests.
func shortTimes() Options {
	return Options{
		FirstTokenTime:   time.Millisecond,
		TimePerToken:     time.Millisecond,
		LoadDelay:        time.Millisecond,
		AdapterLoadDelay: time.Millisecond,
		RestartAfter:     time.Millisecond,
	}
}

func (b *testEngine) loadOrder(id ident.OrderID, model ident.ModelName, memory unit.Bytes) backend.Order {
	return backend.Order{
		ID:          id,
		Incarnation: b.Incarnation(),
		Kind:        backend.LoadModel,
		Model:       model,
		Version:     "3",
		Memory:      memory,
	}
}

func (b *testEngine) sendOrder(order backend.Order) (bool, string) {
	accepted, reason, err := b.client.SendOrder(context.Background(), b.address, order)
	require.NoError(b.t, err)
	return accepted, reason
}

// orderResult returns the result of an order, or "" if it is not settled.
func (b *testEngine) orderResult(id ident.OrderID) backend.OrderResult {
	for _, settled := range b.Report().Settled {
		if settled.ID == id {
			return settled.Result
		}
	}
	return ""
}

func (b *testEngine) requireResult(id ident.OrderID, want backend.OrderResult) {
	b.t.Helper()
	require.Eventually(b.t, func() bool { return b.orderResult(id) != "" }, waitTimeout, pollInterval)
	require.Equal(b.t, want, b.orderResult(id))
}

// loadBriefing loads the model "briefing".
func (b *testEngine) loadBriefing() *testEngine {
	id := ident.OrderID("ready-" + b.Incarnation())
	accepted, reason := b.sendOrder(b.loadOrder(id, "briefing", unit.Gibibyte))
	require.True(b.t, accepted, reason)
	b.requireResult(id, backend.OrderDone)
	return b
}

func chatCall(attempt ident.AttemptID, model, message string, tokens int) peer.Call {
	return peer.Call{
		Body: []byte(`{"model":"` + model + `","stream":true,"max_tokens":` + strconv.Itoa(tokens) +
			`,"messages":[{"role":"user","content":"` + message + `"}]}`),
		RequestID: ident.RequestID("of-" + attempt),
		AttemptID: attempt,
		Stream:    true,
	}
}

// startStream sends a chat request and waits for its first chunk.
func (b *testEngine) startStream(call peer.Call) *peer.Stream {
	b.t.Helper()
	stream, err := b.client.Chat(context.Background(), b.address, call)
	require.NoError(b.t, err)
	_, err = stream.Next()
	require.NoError(b.t, err)
	return stream
}

// readToEnd reads a stream to its end mark or an error.
func readToEnd(stream *peer.Stream) error {
	defer stream.Close()
	for {
		event, err := stream.Next()
		if err != nil {
			return err
		}
		if _, end := event.(peer.End); end {
			return nil
		}
	}
}

func (b *testEngine) runCall(call peer.Call) error {
	stream, err := b.client.Chat(context.Background(), b.address, call)
	if err != nil {
		return err
	}
	return readToEnd(stream)
}

func (b *testEngine) requireRefusal(call peer.Call) *peer.Refusal {
	b.t.Helper()
	var refusal *peer.Refusal
	require.ErrorAs(b.t, b.runCall(call), &refusal)
	return refusal
}
