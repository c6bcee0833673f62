package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"cicadaloom/internal/domain/store"
)

// watcher takes in what stands under one prefix of the key-value service.
type watcher struct {
	name    string
	replace func(entries []store.Entry)
	change  func(events []store.Event)
}

// Pauses between two readings after a failure. The first is short, since a watch
// is cut also where the service is well; the longest keeps a host within a second
// of the service's return.
const (
	firstPause   = 60 * time.Millisecond
	longestPause = 800 * time.Millisecond
)

// watch reads everything under a prefix and then follows the changes, for as long
// as the host lives. Each failure is told to the control: entries that go missing
// around it may come back.
func (g *Gateway) watch(prefix string, w watcher) error {
	pause := firstPause
	lost := false
	for g.tomb.Alive() {
		ctx := g.tomb.Context(nil)
		listing, err := g.options.KeyValue.List(ctx, prefix)
		if err == nil {
			if lost {
				g.log.Info("key-value service is back", zap.String("Prefix", prefix), zap.Int64("Revision", int64(listing.Revision)))
				lost = false
			}
			w.replace(listing.Entries)
			pause = firstPause
			err = g.options.KeyValue.Watch(ctx, prefix, listing.Revision, func(batch store.Batch) error {
				if len(batch.Events) > 0 {
					w.change(batch.Events)
				}
				return nil
			})
		}
		if !g.tomb.Alive() {
			return nil
		}
		if !errors.Is(err, context.Canceled) && !lost {
			g.log.Warn("key-value service is lost", zap.String("Prefix", prefix), zap.Error(err))
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

func (g *Gateway) configurationWatcher() watcher {
	key := g.options.Layout.ConfigurationKey
	return watcher{
		name: "configuration",
		replace: func(entries []store.Entry) {
			for i := range entries {
				if entries[i].Key == key {
					g.post(configurationRead{text: entries[i].Value, from: "key-value service"})
				}
			}
		},
		change: func(events []store.Event) {
			for i := range events {
				if events[i].Entry.Key == key && !events[i].Deleted {
					g.post(configurationRead{text: events[i].Entry.Value, from: "key-value service"})
				}
			}
		},
	}
}

func (g *Gateway) registrationWatcher() watcher {
	return watcher{
		name:    "servers",
		replace: func(entries []store.Entry) { g.post(serversListed{entries: entries}) },
		change:  func(events []store.Event) { g.post(serversChanged{events: events}) },
	}
}

func (g *Gateway) hostWatcher() watcher {
	return watcher{
		name:    "hosts",
		replace: func(entries []store.Entry) { g.post(hostsListed{entries: entries}) },
		change:  func(events []store.Event) { g.post(hostsChanged{events: events}) },
	}
}
