package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"cicadaloom/internal/domain/store"
)

// Pauses between two readings after a failure. The first is short, since a watch
// is cut also where the service is well; the longest keeps a host within a second
// of the service's return.
const (
	firstPause   = 60 * time.Millisecond
	longestPause = 800 * time.Millisecond
)

// everything is the prefix of all keys. One watch brings the configuration, the
// servers' entries and the hosts' own: calls are counted, a waiting one as well.
const everything = ""

// watch reads everything and then follows the changes, for as long as the host
// lives. Each failure is told to the control: entries that go missing around it may
// come back.
func (g *Gateway) watch() error {
	pause := firstPause
	lost := false
	for g.tomb.Alive() {
		ctx := g.context()
		listing, err := g.options.KeyValue.List(ctx, everything)
		if err == nil {
			if lost {
				g.log.Info("key-value service is back", zap.Int64("Revision", int64(listing.Revision)))
				lost = false
			}
			g.post(listed{entries: listing.Entries})
			pause = firstPause
			err = g.options.KeyValue.Watch(ctx, everything, listing.Revision, func(batch store.Batch) error {
				if len(batch.Events) > 0 {
					g.post(changed{events: batch.Events})
				}
				return nil
			})
		}
		if !g.tomb.Alive() {
			return nil
		}
		if !errors.Is(err, context.Canceled) && !lost {
			g.log.Warn("key-value service is lost", zap.Error(err))
			lost = true
		}
		g.post(troubled{})
		g.sleep(pause/2 + rand.N(pause))
		pause = min(2*pause, longestPause)
	}
	return nil
}

// sleep waits, but not beyond the host's end.
func (g *Gateway) sleep(length time.Duration) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-g.tomb.Dying():
	}
}
