package gateway

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"cicadaloom/internal/control/fairshare"
)

// shareMetrics count the prompts that this host schedules for accounts, by the account's rank.
type shareMetrics struct {
	granted [fairshare.RankCount]*metrics.Counter
	refused [fairshare.RankCount]*metrics.Counter
}

func newShareMetrics(set *metrics.Set) shareMetrics {
	var m shareMetrics
	for rank := range fairshare.RankCount {
		prefix := `cicadaloom_scheduled_prompts_total{rank="` + rank.String() + `",result="`
		m.granted[rank] = set.NewCounter(prefix + `Granted"}`)
		m.refused[rank] = set.NewCounter(prefix + `Refused"}`)
	}
	return m
}

// reportShares updates the metrics, and logs which account is furthest beyond its share while its
// prompts wait. It is called once a second.
func (c *control) reportShares(now time.Time) {
	state := c.schedulers.queue.ShareState(now)
	for rank := range fairshare.RankCount {
		c.gauges.shares.granted[rank].Set(uint64(state.Counts[rank].Granted))
		c.gauges.shares.refused[rank].Set(uint64(state.Counts[rank].Refused))
	}
	if state.Account != "" {
		c.log.Info("prompt queue is short of room, an account is beyond its share", zap.String("Account", string(state.Account)), zap.Stringer("Rank", state.Rank), zap.Int("Waiting", state.Waiting))
	}
}
