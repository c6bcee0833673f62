package heldbytes

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"cicadaloom/internal/domain/unit"
)

const (
	testLimit  = 64 * unit.Mebibyte
	testAnswer = 16 * unit.Mebibyte
)

// fill grows a hold until it can't, and returns by how much.
func fill(hold *Hold, step unit.Bytes) unit.Bytes {
	grown := unit.Bytes(0)
	for hold.Grow(int(step)) {
		grown += step
	}
	return grown
}

// Load: one server's answers have no end, in as many requests as it likes. Guards against a
// server that costs the requests of others.
func TestEndlessAnswersOfOneServerLeaveRoomForOthers(t *testing.T) {
	budget := New(testLimit, testAnswer)
	bad := make([]Hold, 100)
	for i := range bad {
		bad[i] = budget.Hold()
		bad[i].UseServer("bad")
		fill(&bad[i], 16*unit.Kibibyte)
	}
	require.LessOrEqual(t, budget.Stats().Held, testAnswer+100*SmallBytes)
	good := budget.Hold()
	require.True(t, good.Grow(int(4*unit.Mebibyte)))
	good.UseServer("good")
	require.True(t, good.Grow(int(testAnswer)))
}

// Load: all servers send without end. Guards against small requests that find no room.
func TestEndlessAnswersOfAllServersLeaveRoomForSmallRequests(t *testing.T) {
	budget := New(testLimit, testAnswer)
	for _, server := range []string{"a", "b", "c", "d", "e", "f"} {
		hold := budget.Hold()
		hold.UseServer(server)
		fill(&hold, SmallBytes)
	}
	require.LessOrEqual(t, budget.Stats().Held, testLimit*3/4+6*SmallBytes)
	for range 200 {
		hold := budget.Hold()
		require.True(t, hold.Grow(2<<10))
		hold.UseServer("a")
		require.True(t, hold.Grow(16<<10))
	}
}

// Guards against a failure answer that is kept for the client and counts no more when the request
// goes to another server.
func TestKeptAnswerCountsUntilRelease(t *testing.T) {
	budget := New(testLimit, testAnswer)
	hold := budget.Hold()
	hold.UseServer("a")
	require.True(t, hold.Grow(1<<20))
	hold.KeepAnswer()
	hold.UseServer("b")
	require.Equal(t, unit.Mebibyte, budget.Stats().Held)
	require.Empty(t, budget.byServer)
	hold.Release()
	require.Zero(t, budget.Stats().Held)
}

// Guards against bytes that leak from the budget, or that are held beyond its bound.
func TestBudgetHoldsWhatItsHoldsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := New(testLimit, testAnswer)
		holds := make([]Hold, 8)
		for i := range holds {
			holds[i] = budget.Hold()
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			hold := &holds[rapid.IntRange(0, len(holds)-1).Draw(t, "hold")]
			amount := rapid.IntRange(0, int(testAnswer)).Draw(t, "amount")
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1:
				hold.Grow(amount)
			case 2:
				hold.UseServer(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "server"))
			case 3:
				hold.KeepAnswer()
			case 4:
				hold.ReleaseAnswer(unit.Bytes(amount))
			case 5:
				hold.ReleaseBody()
			}
			checkSums(t, budget, holds)
		}
		for i := range holds {
			holds[i].Release()
		}
		require.Zero(t, budget.Stats().Held)
		require.Zero(t, budget.large)
		require.Empty(t, budget.byServer)
	})
}

func checkSums(t *rapid.T, budget *Budget, holds []Hold) {
	var held, large unit.Bytes
	byServer := make(map[string]unit.Bytes)
	for i := range holds {
		h := &holds[i]
		held += h.body.all + h.answer.all + h.kept.all
		large += h.body.large + h.answer.large + h.kept.large
		if h.answer.large > 0 {
			byServer[h.server] += h.answer.large
		}
	}
	require.Equal(t, held, budget.Stats().Held)
	require.Equal(t, large, budget.large)
	require.Equal(t, byServer, budget.byServer)
	require.LessOrEqual(t, held, testLimit)
	require.LessOrEqual(t, large, budget.largeLimit)
	for _, amount := range byServer {
		require.LessOrEqual(t, amount, budget.serverLimit)
	}
}

func BenchmarkGrow(b *testing.B) {
	budget := New(testLimit, testAnswer)
	b.ReportAllocs()
	for b.Loop() {
		hold := budget.Hold()
		hold.Grow(1 << 10)
		hold.UseServer("a")
		hold.Grow(16 << 10)
		hold.Release()
	}
}
