package loop

import (
	"context"
	"time"

	"go.uber.org/zap"

	"cicadaloom/internal/config/teamdoc"
	"cicadaloom/internal/control/documents"
	"cicadaloom/internal/control/routing"
	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/store"
	"cicadaloom/internal/domain/unit"
)

// documentsEvent is an event for the documents' machine.
type documentsEvent struct {
	event documents.Event
}

func (m documentsEvent) apply(now time.Time, c *control) {
	c.stepDocuments(now, m.event)
}

func (c *control) stepDocuments(now time.Time, event documents.Event) {
	c.runDocuments(now, c.documents.Step(now, event))
	c.planDocuments(now)
}

// tickDocuments lets time pass for the documents.
func (c *control) tickDocuments(now time.Time) {
	if now.Before(c.documentsAt) {
		return
	}
	c.documentsAt = now.Add(idleTick)
	c.stepDocuments(now, documents.Tick{})
}

// runDocuments starts a worker for each command.
func (c *control) runDocuments(now time.Time, commands []documents.Command) {
	for _, command := range commands {
		switch command := command.(type) {
		case documents.List:
			c.listDocuments(command)
		case documents.Read:
			c.readDocument(command)
		case documents.Swap:
			c.swapDocument(command)
		case documents.Watch:
			c.watchDocuments(command)
		case documents.StopWatch:
			c.stopWatch()
		case documents.AnswerEdit:
			c.answerEdit(command)
		case documents.InForce:
			c.serveDocuments(now, command.Snapshot)
		case documents.Complain:
			c.log.Error("stored document can't be read; the one before stays in force",
				zap.String("Team", string(command.Team)), zap.Int64("Revision", int64(command.Revision)), zap.Error(command.Cause))
		}
	}
}

// learned gives the documents' machine an answer of the key-value service.
func (l *Loop) learned(event documents.Event) {
	l.send(documentsEvent{
		event: event,
	})
}

func (l *Loop) listDocuments(command documents.List) {
	l.work(l.callTimeout(), func(ctx context.Context) {
		listing, err := l.options.KeyValue.List(ctx, command.Prefix)
		if err != nil {
			l.learned(documents.ListFailed{
				Call: command.Call,
			})
			return
		}
		l.learned(documents.ListingRead{
			Call:    command.Call,
			Listing: listing,
		})
	})
}

func (l *Loop) readDocument(command documents.Read) {
	l.work(l.callTimeout(), func(ctx context.Context) {
		entry, err := l.options.KeyValue.Get(ctx, command.Key)
		l.learned(documents.ReadAnswered{
			Call:   command.Call,
			Entry:  entry,
			Failed: err != nil,
		})
	})
}

func (l *Loop) swapDocument(command documents.Swap) {
	l.work(l.callTimeout(), func(ctx context.Context) {
		result, err := l.options.KeyValue.Swap(ctx, command.Swap)
		l.learned(documents.NewSwapAnswered(command.Call, result, err))
	})
}

// watchDocuments watches until the watch breaks or another takes its place.
func (c *control) watchDocuments(command documents.Watch) {
	c.stopWatch()
	ctx, cancel := context.WithCancel(c.tomb.Context(context.Background()))
	c.watch = cancel
	c.tomb.Go(func() error {
		defer cancel()
		err := c.options.KeyValue.Watch(ctx, command.Prefix, command.After, func(batch store.Batch) error {
			c.learned(documents.WatchDelivered{
				Watch: command.Watch,
				Batch: batch,
			})
			return nil
		})
		if err != nil && ctx.Err() == nil {
			c.log.Info("watch broken", zap.Error(err))
		}
		c.learned(documents.WatchBroke{
			Watch: command.Watch,
		})
		return nil
	})
}

func (c *control) stopWatch() {
	if c.watch != nil {
		c.watch()
		c.watch = nil
	}
}

// editAsked is an operator's edit that somebody waits for.
type editAsked struct {
	edit   documents.EditSubmitted
	answer chan documents.EditResult
}

func (m editAsked) apply(now time.Time, c *control) {
	c.edits[m.edit.Edit] = append(c.edits[m.edit.Edit], m.answer)
	c.stepDocuments(now, m.edit)
}

// answerEdit answers all that wait for an edit: it may have been submitted
// twice, and each submission gets an answer of its own, the oldest first.
func (c *control) answerEdit(answer documents.AnswerEdit) {
	waiting := c.edits[answer.Edit]
	if len(waiting) == 0 {
		return
	}
	waiting[0] <- answer.Result
	c.edits[answer.Edit] = waiting[1:]
	if len(waiting) == 1 {
		delete(c.edits, answer.Edit)
	}
}

// serveDocuments puts documents in force on this host.
func (c *control) serveDocuments(now time.Time, snapshot *documents.Snapshot) {
	c.inForce.Store(snapshot)
	c.routing.Step(now, routing.Documents{
		Documents: snapshot.Documents,
		Revision:  snapshot.Revision,
	})
	c.dirty = true
	// Peers learn it at once rather than at the next interval.
	c.exchangeAt = now
	c.log.Info("documents in force", zap.Int64("Revision", int64(snapshot.Revision)))
}

// learnDocuments takes in what a peer told.
func (c *control) learnDocuments(now time.Time, word documents.Word) {
	c.stepDocuments(now, documents.PeerSpoke{
		Word: word,
	})
}

// measure takes note of a server's memory, against which edits are checked.
func (c *control) measure(now time.Time, report *backend.Report) {
	if c.memories[report.Server] == report.Memory {
		return
	}
	c.memories[report.Server] = report.Memory
	c.tellCapacity(now)
}

// unheardFor is how long a server that has just been listed is expected to
// report its memory. One that never does must not hold up edits for ever.
const unheardFor = 15 * time.Second

// tellCapacity tells the documents what all listed servers have. One that is
// silent at the moment counts with what it last said: it comes back.
func (c *control) tellCapacity(now time.Time) {
	var event documents.CapacityChanged
	for _, server := range c.sortedServers() {
		if server.Kind != backend.KindEngine {
			continue
		}
		memory := c.memories[server.Name]
		if memory > 0 {
			event.Servers = append(event.Servers, teamdoc.Server{
				Name:   server.Name,
				Memory: memory,
			})
		} else if now.Before(c.listedAt[server.Name].Add(unheardFor)) {
			event.Unheard++
		}
	}
	c.stepDocuments(now, event)
}

// memories maps backend servers to their accelerator memory.
type memories map[ident.ServerName]unit.Bytes
