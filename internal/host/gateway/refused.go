package gateway

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"cicadaloom/internal/control/suspects"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/store"
)

const (
	// refusedWriteInterval is the least time between two writes of the refused suspects.
	refusedWriteInterval = time.Second
)

// refusedEntry is the entry that has the most urgent suspects, those that are refused first. The
// leader writes it when they change, so that hosts that were all restarted at once don't let them
// crash as many servers again.
type refusedEntry struct {
	Suspects []refusedSuspect
}

type refusedSuspect struct {
	Fingerprint uint64
	Subject     suspects.Subject
	Crashes     []refusedCrash
	// KeepUntil is in Unix milliseconds.
	KeepUntil int64
}

type refusedCrash struct {
	Server      string
	Incarnation string
}

// refusedState is what the control goroutine knows of the entry.
type refusedState struct {
	// stored summarises the suspects in the entry.
	stored      []suspectSummary
	isWriting   bool
	nextWriteAt time.Time
}

// suspectSummary identifies what is known of a suspect.
type suspectSummary struct {
	fingerprint ident.Fingerprint
	crashes     int
}

// storeRefused writes the most urgent suspects if this host is the leader and they have changed.
func (c *control) storeRefused(now time.Time) {
	if c.term == nil || c.refused.isWriting || now.Before(c.refused.nextWriteAt) {
		return
	}
	urgent := c.suspects.Suspected(maxMessageSuspects)
	if slices.Equal(summarise(urgent), c.refused.stored) {
		return
	}
	c.refused.isWriting = true
	c.tomb.Go(func() error {
		c.post(refusedWritten{
			summaries: summarise(urgent),
			err:       c.writeRefused(urgent),
		})
		return nil
	})
}

func (g *Gateway) writeRefused(refused []suspects.Suspect) error {
	value, err := encodeRefused(refused)
	if err != nil {
		return err
	}
	return g.writeValue(g.options.Layout.refusedKey(), value)
}

// leaderWriteTimeout bounds a write of the leader's.
const leaderWriteTimeout = time.Second

// writeValue writes the value of a key if some compares hold.
func (g *Gateway) writeValue(key string, value []byte, compares ...store.Compare) error {
	ctx, cancel := context.WithTimeout(g.context(), leaderWriteTimeout)
	defer cancel()
	_, err := g.options.KeyValue.Swap(ctx, store.Swap{
		Compares: compares,
		Puts: []store.Put{{
			Key:   key,
			Value: value,
		}},
	})
	return err
}

// refusedWritten reports how a write of suspects has ended.
type refusedWritten struct {
	summaries []suspectSummary
	err       error
}

func (e refusedWritten) apply(now time.Time, c *control) {
	c.refused.isWriting = false
	c.refused.nextWriteAt = now.Add(refusedWriteInterval)
	if e.err != nil {
		c.log.Info("suspects not written", zap.Error(e.err))
		return
	}
	c.refused.stored = e.summaries
}

// applyRefusedEntry adds the suspects of the entry to those that are known.
func (c *control) applyRefusedEntry(now time.Time, entry *store.Entry) {
	refused, err := decodeRefused(entry.Value)
	if err != nil {
		c.log.Warn("entry of refused suspects can't be decoded", zap.Error(err))
		return
	}
	c.refused.stored = summarise(refused)
	suspectsReported{
		events: []suspects.Event{suspects.Received{
			Suspects: refused,
		}},
	}.apply(now, c)
}

// summarise returns the summaries of suspects, sorted.
func summarise(some []suspects.Suspect) []suspectSummary {
	summaries := make([]suspectSummary, 0, len(some))
	for i := range some {
		summaries = append(summaries, suspectSummary{
			fingerprint: some[i].Fingerprint,
			crashes:     len(some[i].Crashes),
		})
	}
	slices.SortFunc(summaries, func(a, b suspectSummary) int { return cmp.Compare(a.fingerprint, b.fingerprint) })
	return summaries
}

func encodeRefused(refused []suspects.Suspect) ([]byte, error) {
	var entry refusedEntry
	for i := range refused {
		suspect := refusedSuspect{
			Fingerprint: uint64(refused[i].Fingerprint),
			Subject:     refused[i].Subject,
			KeepUntil:   refused[i].KeepUntil.UnixMilli(),
		}
		for _, crash := range refused[i].Crashes {
			suspect.Crashes = append(suspect.Crashes, refusedCrash{
				Server:      string(crash.Server),
				Incarnation: string(crash.Incarnation),
			})
		}
		entry.Suspects = append(entry.Suspects, suspect)
	}
	value, err := json.Marshal(entry)
	return value, errors.Wrap(err, "encode refused suspects")
}

func decodeRefused(value []byte) ([]suspects.Suspect, error) {
	var entry refusedEntry
	if err := json.Unmarshal(value, &entry); err != nil {
		return nil, errors.Wrap(err, "decode refused suspects")
	}
	var refused []suspects.Suspect
	for i := range entry.Suspects {
		stored := &entry.Suspects[i]
		suspect := suspects.Suspect{
			Fingerprint: ident.Fingerprint(stored.Fingerprint),
			Subject:     stored.Subject,
			KeepUntil:   time.UnixMilli(stored.KeepUntil),
		}
		for _, crash := range stored.Crashes {
			suspect.Crashes = append(suspect.Crashes, suspects.ServerIncarnation{
				Server:      ident.ServerName(crash.Server),
				Incarnation: ident.Incarnation(crash.Incarnation),
			})
		}
		refused = append(refused, suspect)
	}
	return refused, nil
}
