package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadaloom/internal/domain/unit"
)

// The link between the regions is full, and what must cross it waits for
// seconds: each host kept the budget by itself, or counted requests and not
// their long answers. All hosts together must stay within it, each way.
func TestHostsTogetherKeepTheLinkBudget(t *testing.T) {
	const (
		budget  = 256 * unit.Kibibyte
		hosts   = 7
		length  = 60 * time.Second
		answers = 300 * time.Millisecond
	)
	dice := rand.New(rand.NewPCG(5, 6))
	links := make([]Link, hosts)
	for i := range links {
		links[i].Budget = budget
	}
	type going struct {
		crossing *Crossing
		left     int
	}
	var under []going
	var sent, received unit.Bytes
	crossed := 0
	start := time.Unix(1_000_000, 0)
	for now := start; now.Before(start.Add(length)); now = now.Add(10 * time.Millisecond) {
		link := &links[dice.IntN(hosts)]
		if free, ever := link.FreeAt(now); ever && !free.After(now) {
			request := unit.Bytes(200 + dice.IntN(2000))
			crossing := link.Begin(now, request, hosts)
			sent += request + messageOverhead
			received += messageOverhead
			crossed++
			under = append(under, going{
				crossing: &crossing,
				left:     1 + dice.IntN(2*int(answers/(10*time.Millisecond))),
			})
		}
		kept := under[:0]
		for _, g := range under {
			chunk := unit.Bytes(100 + dice.IntN(500))
			g.crossing.Received(now, chunk)
			received += chunk + chunkOverhead
			if g.left--; g.left > 0 {
				kept = append(kept, g)
			} else {
				g.crossing.End(now)
			}
		}
		under = kept
	}
	most := unit.Bytes((length + 2*linkWindow).Seconds()) * budget
	t.Logf("%d crossed, sent %v, received %v, most %v", crossed, sent, received, most)
	require.LessOrEqual(t, sent, most)
	require.LessOrEqual(t, received, most)
	require.Greater(t, received, most*8/10, "what is paid for is used")
}

func TestNoBudgetNoCrossing(t *testing.T) {
	var none *Link
	_, ever := none.FreeAt(time.Now())
	require.False(t, ever)
	_, ever = (&Link{}).FreeAt(time.Now())
	require.False(t, ever)
	var stays Crossing
	stays.Received(time.Now(), 5)
	stays.End(time.Now())
}

func TestFullLinkSaysWhenItIsFree(t *testing.T) {
	link := Link{
		Budget: 10 * unit.Kibibyte,
	}
	now := time.Unix(1_000_000, 0)
	link.Begin(now, 50*unit.Kibibyte-messageOverhead, 1)
	free, ever := link.FreeAt(now)
	require.True(t, ever)
	require.Equal(t, 4*time.Second, free.Sub(now), "5 s of traffic less the window")
	link = Link{
		Budget: 10 * unit.Kibibyte,
	}
	crossing := link.Begin(now, unit.Kibibyte, 1)
	crossing.End(now)
	crossing.End(now)
	require.Less(t, link.usualAnswer(), firstGuess)
	crossing = link.Begin(now, unit.Kibibyte, 1)
	crossing.Received(now, 40*unit.Kibibyte)
	free, _ = link.FreeAt(now)
	require.Greater(t, free.Sub(now), 2*time.Second, "an answer is charged as it comes")
}
