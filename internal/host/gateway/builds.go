package gateway

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"cicadaloom/internal/control/balance"
	"cicadaloom/internal/control/streams"
	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/store"
)

const (
	// buildsWriteInterval is the least time between two writes of the history of builds.
	buildsWriteInterval = 200 * time.Millisecond
	// maxUnrecordedTime is how long servers get no requests because their build is not recorded.
	// The key-value service may be unavailable for longer.
	maxUnrecordedTime = 3 * time.Second
)

// buildsEntry is the entry that has the history of builds.
type buildsEntry struct {
	Services map[string][]servedBuild
}

type servedBuild struct {
	Build string
	// LeftAt is in Unix milliseconds, 0 while servers run the build.
	LeftAt int64
}

// buildState is what the control goroutine knows of the history of builds.
type buildState struct {
	// revision is that of the entry, 0 if there is none.
	revision ident.Revision
	// isUnreadable tells that the entry can't be decoded.
	isUnreadable bool
	isWriting    bool
	nextWriteAt  time.Time
	// unrecordedUntil has the builds that the history lacks, and until when their servers get no
	// requests; zero once that is over.
	unrecordedUntil map[unrecordedBuild]time.Time
}

type unrecordedBuild struct {
	service ident.ServiceName
	build   ident.Build
}

// buildsOf returns the builds that may have begun a stream of a service that a client may still
// resume: those that this host has seen, and those of the history.
func (g *Gateway) buildsOf(now time.Time, service ident.ServiceName, pool *balance.Pool) []ident.Build {
	builds := g.streams.loadHistory().Recent(now, service)
	if pool != nil {
		builds = append(builds, pool.Builds(now, streams.Retention)...)
	}
	slices.Sort(builds)
	return slices.Compact(builds)
}

// isUnrecorded reports whether a server has to wait for its first requests until its build is in the
// history: hosts that start later could not know that streams began there.
func (c *control) isUnrecorded(now time.Time, server *backend.Server) bool {
	key := unrecordedBuild{
		service: server.Service,
		build:   server.Build,
	}
	if !c.streams.loadHistory().Lacks(now, server.Service, server.Build) {
		delete(c.builds.unrecordedUntil, key)
		return false
	}
	until, known := c.builds.unrecordedUntil[key]
	if !known {
		until = now.Add(maxUnrecordedTime)
		c.builds.unrecordedUntil[key] = until
	}
	return now.Before(until)
}

// updateUnrecorded publishes the servers whose builds have been unrecorded for long enough.
func (c *control) updateUnrecorded(now time.Time) {
	for key, until := range c.builds.unrecordedUntil {
		pool, declared := c.pools[key.service]
		switch {
		case !declared || !slices.Contains(pool.RunningBuilds(), key.build):
			delete(c.builds.unrecordedUntil, key)
		case !until.IsZero() && !now.Before(until):
			c.builds.unrecordedUntil[key] = time.Time{}
			c.poolsOutdated = true
		}
	}
}

// storeBuilds writes the history of builds if this host is the leader and other builds run than the
// history says.
func (c *control) storeBuilds(now time.Time) {
	if c.term == nil || !c.serversKnown.Load() || c.builds.isWriting || now.Before(c.builds.nextWriteAt) {
		return
	}
	running := make(map[ident.ServiceName][]ident.Build, len(c.pools))
	for service, pool := range c.pools {
		running[service] = pool.RunningBuilds()
	}
	history, changed := c.streams.loadHistory().Update(now, running)
	if !changed && !c.builds.isUnreadable {
		return
	}
	c.builds.isWriting = true
	revision := c.builds.revision
	c.tomb.Go(func() error {
		c.post(buildsWritten{
			err: c.writeBuilds(history, revision),
		})
		return nil
	})
}

// writeBuilds replaces the history at a revision.
func (g *Gateway) writeBuilds(history streams.History, revision ident.Revision) error {
	value, err := encodeBuilds(history)
	if err != nil {
		return err
	}
	key := g.options.Layout.buildsKey()
	return g.writeValue(key, value, store.Compare{
		Key:      key,
		Revision: revision,
	})
}

// buildsWritten reports how a write of the history has ended. What was written comes back as an entry.
type buildsWritten struct {
	err error
}

func (e buildsWritten) apply(now time.Time, c *control) {
	c.builds.isWriting = false
	c.builds.nextWriteAt = now.Add(buildsWriteInterval)
	if e.err != nil {
		c.log.Info("history of builds not written", zap.Error(e.err))
	}
}

// applyBuildsEntry replaces the history by that of the entry.
func (c *control) applyBuildsEntry(entry *store.Entry) {
	if entry.Revision <= c.builds.revision {
		return
	}
	c.builds.revision = entry.Revision
	history, err := decodeBuilds(entry.Value)
	c.builds.isUnreadable = err != nil
	if err != nil {
		c.log.Warn("history of builds can't be decoded", zap.Error(err))
		return
	}
	c.streams.history.Store(&history)
	c.poolsOutdated = true
}

func encodeBuilds(history streams.History) ([]byte, error) {
	entry := buildsEntry{
		Services: make(map[string][]servedBuild, len(history)),
	}
	for service, builds := range history {
		for _, build := range builds {
			stored := servedBuild{
				Build: string(build.Build),
			}
			if !build.LeftAt.IsZero() {
				stored.LeftAt = build.LeftAt.UnixMilli()
			}
			entry.Services[string(service)] = append(entry.Services[string(service)], stored)
		}
	}
	value, err := json.Marshal(entry)
	return value, errors.Wrap(err, "encode history of builds")
}

func decodeBuilds(value []byte) (streams.History, error) {
	var entry buildsEntry
	if err := json.Unmarshal(value, &entry); err != nil {
		return nil, errors.Wrap(err, "decode history of builds")
	}
	history := make(streams.History, len(entry.Services))
	for service, builds := range entry.Services {
		for _, stored := range builds {
			build := streams.ServedBuild{
				Build: ident.Build(stored.Build),
			}
			if stored.LeftAt != 0 {
				build.LeftAt = time.UnixMilli(stored.LeftAt)
			}
			history[ident.ServiceName(service)] = append(history[ident.ServiceName(service)], build)
		}
	}
	return history, nil
}
