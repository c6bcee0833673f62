package etcd_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"cicadaloom/internal/domain/store"
	standin "cicadaloom/internal/standin/etcd"

	"github.com/anishathalye/porcupine"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
	"gopkg.in/tomb.v2"
)

const (
	historySeed     = 20261202
	historyClients  = 6
	historyKeys     = 4
	historyOps      = 150
	historyDelay    = 4 * time.Millisecond
	historyDeadline = 30 * time.Second
)

// kvInput is a read of a key, or a swap from one value to another. No two swaps write
// the same value, so a value identifies its revision; "" means absent.
type kvInput struct {
	key  string
	swap bool
	from string
	to   string
}

type kvOutput struct {
	swapped bool
	value   string // read, written, or found by a swap whose compare failed
	unknown bool
}

// keyModel is the sequential model of one key. A swap of unknown outcome has no end: it
// may take effect at any later time, if its compare still holds then.
var keyModel = porcupine.Model{
	Partition: partitionByKey,
	Init:      func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		value, in, out := state.(string), input.(kvInput), output.(kvOutput)
		switch {
		case !in.swap:
			return out.value == value, value
		case out.unknown && in.from == value:
			return true, in.to
		case out.unknown:
			return true, value
		case out.swapped:
			return in.from == value, in.to
		}
		return in.from != value && out.value == value, value
	},
}

func partitionByKey(history []porcupine.Operation) [][]porcupine.Operation {
	byKey := map[string][]porcupine.Operation{}
	for _, operation := range history {
		key := operation.Input.(kvInput).key
		byKey[key] = append(byKey[key], operation)
	}
	var parts [][]porcupine.Operation
	for _, part := range byKey {
		parts = append(parts, part)
	}
	return parts
}

// historyRecorder records the operations of several clients.
type historyRecorder struct {
	mu        sync.Mutex
	startedAt time.Time
	history   []porcupine.Operation
	unknown   int
	swapped   int
}

func (r *historyRecorder) add(client int, in kvInput, startedAfter time.Duration, out kvOutput) {
	end := int64(time.Since(r.startedAt))
	if out.unknown {
		end = math.MaxInt64
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history = append(r.history, porcupine.Operation{
		ClientId: client,
		Input:    in,
		Call:     int64(startedAfter),
		Output:   out,
		Return:   end,
	})
	if out.unknown {
		r.unknown++
	}
	if out.swapped {
		r.swapped++
	}
}

// Hosts change the same keys concurrently while the service is slow, loses responses and
// exceeds their deadlines. The results must be consistent with one order of operations.
func TestSwapAndGetAreLinearizable(t *testing.T) {
	kv := startService(t, standin.Options{
		WritesPerSecond: unreachedQuota,
		ReadsPerSecond:  unreachedQuota,
		Seed:            historySeed,
	})
	kv.server.SetFaults(standin.Faults{
		MaxDelay: historyDelay,
	})
	record := &historyRecorder{
		startedAt: time.Now(),
	}
	var clients tomb.Tomb
	for client := range historyClients {
		clients.Go(func() error {
			tester := &testClient{
				service: kv,
				client:  client,
				record:  record,
				random:  rand.New(rand.NewPCG(historySeed, uint64(client))),
				read:    map[string]store.Entry{},
			}
			for i := range historyOps {
				tester.step(i)
			}
			return nil
		})
	}
	require.NoError(t, clients.Wait())
	require.Positive(t, record.swapped)
	require.Positive(t, record.unknown)
	t.Logf("%d operations, %d swapped, %d unknown", len(record.history), record.swapped, record.unknown)
	require.Equal(t, porcupine.Ok, porcupine.CheckOperationsTimeout(keyModel, record.history, historyDeadline))
}

// testClient reads keys, and swaps them if they are still as it read them.
type testClient struct {
	service
	client int
	record *historyRecorder
	random *rand.Rand
	read   map[string]store.Entry
}

// step does one operation. Calls without effect aren't recorded.
func (r *testClient) step(i int) {
	in := kvInput{
		key:  fmt.Sprintf("key-%d", r.random.IntN(historyKeys)),
		swap: r.random.IntN(2) == 0,
		to:   fmt.Sprintf("%d-%d", r.client, i),
	}
	in.from = string(r.read[in.key].Value)
	startedAfter := time.Since(r.record.startedAt)
	operate := r.get
	if in.swap {
		operate = r.swap
	}
	out, err := operate(in)
	out.unknown = errors.Is(err, store.ErrUnknownOutcome)
	if err == nil || out.unknown {
		r.record.add(r.client, in, startedAfter, out)
	}
}

func (r *testClient) get(in kvInput) (kvOutput, error) {
	entry, err := r.Get(context.Background(), in.key)
	if err != nil {
		return kvOutput{}, err
	}
	r.read[in.key] = entry
	return kvOutput{
		value: string(entry.Value),
	}, nil
}

// swap sometimes lets the service lose the response, or sets a deadline that is too
// short.
func (r *testClient) swap(in kvInput) (kvOutput, error) {
	timeout := testTimeout
	switch r.random.IntN(20) {
	case 0:
		timeout = 2 * time.Millisecond
	case 1:
		r.server.SetFaults(standin.Faults{
			MaxDelay:    historyDelay,
			LoseAnswers: 1,
		})
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	result, err := r.Swap(ctx, putOver(in.key, in.to, r.read[in.key]))
	if err != nil {
		return kvOutput{}, err
	}
	current := store.Entry{
		Value:    []byte(in.to),
		Revision: result.Revision,
	}
	if !result.Swapped {
		current = result.Current[0]
	}
	r.read[in.key] = current
	return kvOutput{
		swapped: result.Swapped,
		value:   string(current.Value),
	}, nil
}

// The check must fail for a read of a value that was overwritten before.
func TestLinearizabilityCheckDetectsStaleRead(t *testing.T) {
	record := &historyRecorder{}
	values := []string{"", "1", "2", "1"}
	for i := range 3 {
		record.history = append(record.history, porcupine.Operation{
			Input: kvInput{
				swap: i < 2,
				from: values[i],
				to:   values[i+1],
			},
			Call: int64(2 * i),
			Output: kvOutput{
				swapped: i < 2,
				value:   values[i+1],
			},
			Return: int64(2*i + 1),
		})
	}
	require.True(t, porcupine.CheckOperations(keyModel, record.history[:2]))
	require.False(t, porcupine.CheckOperations(keyModel, record.history))
}
