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

// suspectsWriteInterval is the least time between two writes of the suspects.
const suspectsWriteInterval = time.Second

// suspectsEntry is the entry that has the most urgent suspects, those that are refused first. The
// leader writes it when they change, so that hosts that were all restarted at once don't let them
// crash as many servers again.
type suspectsEntry struct {
	Suspects []storedSuspect
}

type storedSuspect struct {
	Fingerprint uint64
	Subject     suspects.Subject
	Crashes     []storedCrash
	// KeepUntil is in Unix milliseconds.
	KeepUntil int64
}

type storedCrash struct {
	Server      string
	Incarnation string
}

// suspectsState is what the control goroutine knows of the entry.
type suspectsState struct {
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

// storeSuspects writes the most urgent suspects if this host is the leader and they have changed.
func (c *control) storeSuspects(now time.Time) {
	if c.term == nil || c.suspectsEntry.isWriting || now.Before(c.suspectsEntry.nextWriteAt) {
		return
	}
	urgent := c.suspects.Suspected(maxMessageSuspects)
	if slices.Equal(summarise(urgent), c.suspectsEntry.stored) {
		return
	}
	c.suspectsEntry.isWriting = true
	c.tomb.Go(func() error {
		c.post(suspectsWritten{
			summaries: summarise(urgent),
			err:       c.writeSuspects(urgent),
		})
		return nil
	})
}

func (g *Gateway) writeSuspects(some []suspects.Suspect) error {
	value, err := encodeSuspects(some)
	if err != nil {
		return err
	}
	return g.writeValue(g.options.Layout.suspectsKey(), value)
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

// suspectsWritten reports how a write of suspects has ended.
type suspectsWritten struct {
	summaries []suspectSummary
	err       error
}

func (e suspectsWritten) apply(now time.Time, c *control) {
	c.suspectsEntry.isWriting = false
	c.suspectsEntry.nextWriteAt = now.Add(suspectsWriteInterval)
	if e.err != nil {
		c.log.Info("suspects not written", zap.Error(e.err))
		return
	}
	c.suspectsEntry.stored = e.summaries
}

// applySuspectsEntry adds the suspects of the entry to those that are known.
func (c *control) applySuspectsEntry(now time.Time, entry *store.Entry) {
	stored, err := decodeSuspects(entry.Value)
	if err != nil {
		c.log.Warn("entry of suspects can't be decoded", zap.Error(err))
		return
	}
	c.suspectsEntry.stored = summarise(stored)
	suspectsReported{
		events: []suspects.Event{suspects.Received{
			Suspects: stored,
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

func encodeSuspects(some []suspects.Suspect) ([]byte, error) {
	var entry suspectsEntry
	for i := range some {
		suspect := storedSuspect{
			Fingerprint: uint64(some[i].Fingerprint),
			Subject:     some[i].Subject,
			KeepUntil:   some[i].KeepUntil.UnixMilli(),
		}
		for _, crash := range some[i].Crashes {
			suspect.Crashes = append(suspect.Crashes, storedCrash{
				Server:      string(crash.Server),
				Incarnation: string(crash.Incarnation),
			})
		}
		entry.Suspects = append(entry.Suspects, suspect)
	}
	value, err := json.Marshal(entry)
	return value, errors.Wrap(err, "encode suspects")
}

func decodeSuspects(value []byte) ([]suspects.Suspect, error) {
	var entry suspectsEntry
	if err := json.Unmarshal(value, &entry); err != nil {
		return nil, errors.Wrap(err, "decode suspects")
	}
	decoded := make([]suspects.Suspect, 0, len(entry.Suspects))
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
		decoded = append(decoded, suspect)
	}
	return decoded, nil
}
