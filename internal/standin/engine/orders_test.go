package engine

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/unit"
	"cicadaloom/internal/standin/fault"
	"cicadaloom/internal/standin/weights"
)

// Two schedulers that each find room for a model can order both loads, and a real
// engine crashes out of memory. The stand-in refuses the second load and counts
// it.
func TestOvercommittedLoadIsCounted(t *testing.T) {
	options := shortTimes()
	options.Memory = 10
	options.LoadDelay = time.Hour
	b := startEngine(t, options)
	b.sendOrder(b.loadOrder("ord-1", "briefing", 6))
	require.False(t, b.Report().Residents[0].Ready, "memory is taken while it loads")
	accepted, _ := b.sendOrder(b.loadOrder("ord-2", "summary", 5))
	require.True(t, accepted)
	b.requireResult("ord-2", backend.OrderFailed)
	require.Equal(t, 1, b.Stats().Overcommits)
	b.sendOrder(b.loadOrder("ord-3", "summary", 4))
	require.Len(t, b.Report().Residents, 2)
	require.Equal(t, 1, b.Stats().Overcommits)
}

// A former leader that resumes after a pause orders a model unloaded that the new
// leader relies on. An engine that checks fencing numbers refuses the order;
// others execute it.
func TestStaleFencingNumberIsRefused(t *testing.T) {
	b := startEngine(t, shortTimes())
	newer := b.loadOrder("ord-1", "briefing", 1)
	newer.Fencing = 7
	accepted, _ := b.sendOrder(newer)
	require.True(t, accepted)
	b.requireResult("ord-1", backend.OrderDone)

	older := b.loadOrder("ord-2", "summary", 1)
	older.Fencing = 6
	accepted, reason := b.sendOrder(older)
	require.False(t, accepted)
	require.Contains(t, reason, "fencing number 6 is smaller than 7")
	b.requireResult("ord-2", backend.OrderRefused)

	stray := b.loadOrder("ord-3", "summary", 1)
	stray.Fencing = 7
	stray.Incarnation = "inc-of-another-life"
	accepted, reason = b.sendOrder(stray)
	require.False(t, accepted)
	require.Contains(t, reason, "incarnation")

	accepted, reason = b.sendOrder(newer)
	require.False(t, accepted)
	require.Contains(t, reason, "executed before")

	b.Faults.Set(Faults{
		IgnoreFencing: true,
	})
	require.False(t, b.Report().ChecksFencing)
	older.ID = "ord-4"
	accepted, _ = b.sendOrder(older)
	require.True(t, accepted)
	b.requireResult("ord-4", backend.OrderDone)
	require.EqualValues(t, 7, b.Report().Fencing)
}

// An order that was answered 202 may never be executed, or only after newer
// orders.
func TestLostAndDelayedOrders(t *testing.T) {
	b := startEngine(t, shortTimes())
	b.Faults.Set(Faults{
		LoseOrders: 1,
	})
	lost := b.loadOrder("ord-1", "briefing", 1)
	accepted, _ := b.sendOrder(lost)
	require.True(t, accepted)
	require.Empty(t, b.Report().Residents)
	accepted, _ = b.sendOrder(lost)
	require.True(t, accepted, "a lost order was never seen")
	b.requireResult("ord-1", backend.OrderDone)

	for _, ignores := range []bool{false, true} {
		b.Faults.Set(Faults{
			DelayOrders:   1,
			DelayOrdersBy: fault.Duration(30 * time.Millisecond),
			IgnoreFencing: ignores,
		})
		late := b.loadOrder(ident.OrderID(fmt.Sprintf("late-%t", ignores)), "summary", 1)
		accepted, _ = b.sendOrder(late)
		require.True(t, accepted)
		overtaking := b.loadOrder(ident.OrderID(fmt.Sprintf("overtaking-%t", ignores)), "desk", 1)
		overtaking.Fencing = 9
		accepted, _ = b.sendOrder(overtaking)
		require.True(t, accepted)
		want := backend.OrderRefused
		if ignores {
			want = backend.OrderDone
		}
		b.requireResult(late.ID, want)
	}
	require.Equal(t, 6, b.Stats().OrdersReceived)
}

// An unload order must not cut an answer that the model is generating.
func TestUnloadWaitsForRunningRequests(t *testing.T) {
	options := shortTimes()
	options.TimePerToken = 5 * time.Millisecond
	b := startEngine(t, options).loadBriefing()
	stream := b.startStream(chatCall("att-1", "briefing", "x", 20))
	unload := b.loadOrder("ord-2", "briefing", 0)
	unload.Kind = backend.UnloadModel
	accepted, _ := b.sendOrder(unload)
	require.True(t, accepted)
	require.True(t, b.requireRefusal(chatCall("att-2", "briefing", "x", 1)).NotRun)
	require.Equal(t, unit.Gibibyte, b.Report().Residents[0].Memory, "still taken")
	require.NoError(t, readToEnd(stream))
	b.requireResult("ord-2", backend.OrderDone)
	require.Empty(t, b.Report().Residents)
}

func TestAdaptersFollowTheirModel(t *testing.T) {
	b := startEngine(t, shortTimes())
	adapter := b.loadOrder("early", "briefing", 1)
	adapter.Kind = backend.LoadAdapter
	adapter.Adapter = "wind"
	b.sendOrder(adapter)
	b.requireResult("early", backend.OrderFailed)
	b.loadBriefing()
	adapter.ID = "late"
	b.sendOrder(adapter)
	b.requireResult("late", backend.OrderDone)
	require.NoError(t, b.runCall(chatCall("att-1", "wind", "x", 3)))

	unload := b.loadOrder("unload", "briefing", 0)
	unload.Kind = backend.UnloadModel
	b.sendOrder(unload)
	b.requireResult("unload", backend.OrderDone)
	require.Empty(t, b.Report().Residents)
	require.True(t, b.requireRefusal(chatCall("att-2", "wind", "x", 3)).NotRun)
}

func TestLoadsUseWeightStore(t *testing.T) {
	store := weights.New(weights.Options{
		LoadsPerSecond: 1000,
	})
	address, err := store.Start("127.0.0.1:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, store.Stop()) }()
	options := shortTimes()
	options.WeightStore = address
	b := startEngine(t, options).loadBriefing()
	require.EqualValues(t, 1, store.Status().LoadsDone)
	store.Faults.Set(weights.Faults{
		FailLoads: 1,
	})
	b.sendOrder(b.loadOrder("ord-2", "summary", 1))
	b.requireResult("ord-2", backend.OrderFailed)
	require.Len(t, b.Report().Residents, 1, "a failed load frees its memory")
}

// For any sequence of orders the memory limit holds, and each order is settled
// once.
func TestMemoryStaysBoundedForAnyOrders(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		options := shortTimes()
		options.Memory = 10
		b := startEngine(t, options)
		count := rapid.IntRange(1, 25).Draw(r, "orders")
		for i := range count {
			order := b.loadOrder(ident.OrderID(fmt.Sprintf("ord-%d", i)), "", unit.Bytes(rapid.IntRange(0, 6).Draw(r, "memory")))
			order.Model = rapid.SampledFrom([]ident.ModelName{"a", "b", "c"}).Draw(r, "model")
			order.Kind = rapid.SampledFrom([]backend.OrderKind{
				backend.LoadModel, backend.UnloadModel, backend.LoadAdapter, backend.UnloadAdapter,
			}).Draw(r, "kind")
			if order.Kind == backend.LoadAdapter || order.Kind == backend.UnloadAdapter {
				order.Adapter = "x"
			}
			require.NoError(r, b.current().executeOrder(order))
			report := b.Report()
			require.LessOrEqual(r, report.MemoryUsed(), report.Memory)
		}
		require.Eventually(r, func() bool { return len(b.Report().Settled) >= count }, waitTimeout, pollInterval)
		ends := make(map[ident.OrderID]int)
		for _, settled := range b.Report().Settled {
			ends[settled.ID]++
			require.Equal(r, 1, ends[settled.ID], settled.ID)
		}
		b.client.Close()
		require.NoError(r, b.Stop())
	})
}

func TestOrderHistoryIsBounded(t *testing.T) {
	current := newIncarnation(New(shortTimes()))
	defer current.terminate()
	for i := range maxSeenOrders + 10 {
		unload := backend.Order{
			ID:          ident.OrderID(fmt.Sprint(i)),
			Incarnation: current.id,
			Kind:        backend.UnloadModel,
			Model:       "none",
		}
		require.NoError(t, current.executeOrder(unload))
	}
	require.Len(t, current.settled, maxSettledOrders)
	require.Len(t, current.seenOrders.ids, maxSeenOrders)
}
