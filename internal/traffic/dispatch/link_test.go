package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadaloom/internal/domain/unit"
)

// If each host used the whole link budget by itself, or counted requests but
// not their long answers, the link would fill up and delay other traffic by
// seconds. All hosts together must stay within the budget in each direction.
func TestHostsTogetherStayWithinLinkBudget(t *testing.T) {
	const (
		budget  = 256 * unit.Kibibyte
		hosts   = 7
		length  = 60 * time.Second
		answers = 300 * time.Millisecond
	)
	random := rand.New(rand.NewPCG(5, 6))
	links := make([]LinkLimiter, hosts)
	for i := range links {
		links[i].Budget = budget
	}
	type transfer struct {
		linkTransfer *LinkTransfer
		chunksLeft   int
	}
	var transfers []transfer
	var sent, received unit.Bytes
	started := 0
	start := time.Unix(1_000_000, 0)
	for now := start; now.Before(start.Add(length)); now = now.Add(10 * time.Millisecond) {
		link := &links[random.IntN(hosts)]
		if free, isAllowed := link.AvailableAt(now); isAllowed && !free.After(now) {
			request := unit.Bytes(200 + random.IntN(2000))
			linkTransfer := link.StartTransfer(now, request, hosts)
			sent += request + messageOverhead
			received += messageOverhead
			started++
			transfers = append(transfers, transfer{
				linkTransfer: &linkTransfer,
				chunksLeft:   1 + random.IntN(2*int(answers/(10*time.Millisecond))),
			})
		}
		remaining := transfers[:0]
		for _, current := range transfers {
			chunk := unit.Bytes(100 + random.IntN(500))
			current.linkTransfer.CountReceived(now, chunk)
			received += chunk + chunkOverhead
			if current.chunksLeft--; current.chunksLeft > 0 {
				remaining = append(remaining, current)
			} else {
				current.linkTransfer.Finish(now)
			}
		}
		transfers = remaining
	}
	limit := unit.Bytes((length + 2*maxLinkBacklog).Seconds()) * budget
	t.Logf("%d transfers, sent %v, received %v, limit %v", started, sent, received, limit)
	require.LessOrEqual(t, sent, limit)
	require.LessOrEqual(t, received, limit)
	require.Greater(t, received, limit*8/10, "the budget must be used")
}

func TestZeroLinkBudgetAllowsNoTransfer(t *testing.T) {
	var limiter *LinkLimiter
	_, isAllowed := limiter.AvailableAt(time.Now())
	require.False(t, isAllowed)
	_, isAllowed = (&LinkLimiter{}).AvailableAt(time.Now())
	require.False(t, isAllowed)
	var local LinkTransfer
	local.CountReceived(time.Now(), 5)
	local.Finish(time.Now())
}

func TestFullLinkReportsWhenAvailable(t *testing.T) {
	limiter := LinkLimiter{
		Budget: 10 * unit.Kibibyte,
	}
	now := time.Unix(1_000_000, 0)
	limiter.StartTransfer(now, 50*unit.Kibibyte-messageOverhead, 1)
	free, isAllowed := limiter.AvailableAt(now)
	require.True(t, isAllowed)
	require.Equal(t, 4*time.Second, free.Sub(now), "5 s of traffic less the allowed backlog")
	limiter = LinkLimiter{
		Budget: 10 * unit.Kibibyte,
	}
	transfer := limiter.StartTransfer(now, unit.Kibibyte, 1)
	transfer.Finish(now)
	transfer.Finish(now)
	require.Less(t, limiter.averageAnswerSize(), initialAnswerSize)
	transfer = limiter.StartTransfer(now, unit.Kibibyte, 1)
	transfer.CountReceived(now, 40*unit.Kibibyte)
	free, _ = limiter.AvailableAt(now)
	require.Greater(t, free.Sub(now), 2*time.Second, "an answer is charged as it arrives")
}
