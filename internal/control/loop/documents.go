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

// documentsEvent is an event for the documents machine.
type documentsEvent struct {
	event documents.Event
}

func (m documentsEvent) apply(now time.Time, c *control) {
	c.stepDocuments(now, m.event)
}

func (c *control) stepDocuments(now time.Time, event documents.Event) {
	c.runDocumentCommands(now, c.documents.Step(now, event))
	c.planDocuments(now)
}

// tickDocuments steps the documents machine at every idleTick.
func (c *control) tickDocuments(now time.Time) {
	if now.Before(c.nextDocumentsTickAt) {
		return
	}
	c.nextDocumentsTickAt = now.Add(idleTick)
	c.stepDocuments(now, documents.Tick{})
}

// runDocumentCommands starts a worker for each command that makes a call, and
// carries out the others.
func (c *control) runDocumentCommands(now time.Time, commands []documents.Command) {
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
		case documents.PublishSnapshot:
			c.putInForce(now, command.Snapshot)
		case documents.ReportUnreadable:
			c.log.Error("stored document can't be read; the previous one stays in force",
				zap.String("Team", string(command.Team)), zap.Int64("Revision", int64(command.Revision)), zap.Error(command.Cause))
		}
	}
}

// sendDocumentsEvent sends the documents machine an answer of the key-value service.
func (l *Loop) sendDocumentsEvent(event documents.Event) {
	l.send(documentsEvent{
		event: event,
	})
}

func (l *Loop) listDocuments(command documents.List) {
	l.startWorker(l.callTimeout(), func(ctx context.Context) {
		listing, err := l.options.KeyValue.List(ctx, command.Prefix)
		if err != nil {
			l.sendDocumentsEvent(documents.ListFailed{
				Call: command.Call,
			})
			return
		}
		l.sendDocumentsEvent(documents.ListingRead{
			Call:    command.Call,
			Listing: listing,
		})
	})
}

func (l *Loop) readDocument(command documents.Read) {
	l.startWorker(l.callTimeout(), func(ctx context.Context) {
		entry, err := l.options.KeyValue.Get(ctx, command.Key)
		l.sendDocumentsEvent(documents.ReadAnswered{
			Call:   command.Call,
			Entry:  entry,
			Failed: err != nil,
		})
	})
}

func (l *Loop) swapDocument(command documents.Swap) {
	l.startWorker(l.callTimeout(), func(ctx context.Context) {
		result, err := l.options.KeyValue.Swap(ctx, command.Swap)
		l.sendDocumentsEvent(documents.NewSwapAnswered(command.Call, result, err))
	})
}

// watchDocuments watches until the watch breaks or a newer one replaces it.
func (c *control) watchDocuments(command documents.Watch) {
	c.stopWatch()
	ctx, cancel := context.WithCancel(c.tomb.Context(context.Background()))
	c.cancelWatch = cancel
	c.tomb.Go(func() error {
		defer cancel()
		err := c.options.KeyValue.Watch(ctx, command.Prefix, command.After, func(batch store.Batch) error {
			c.sendDocumentsEvent(documents.WatchBatchReceived{
				Watch: command.Watch,
				Batch: batch,
			})
			return nil
		})
		if err != nil && ctx.Err() == nil {
			c.log.Info("watch broken", zap.Error(err))
		}
		c.sendDocumentsEvent(documents.WatchEnded{
			Watch: command.Watch,
		})
		return nil
	})
}

func (c *control) stopWatch() {
	if c.cancelWatch != nil {
		c.cancelWatch()
		c.cancelWatch = nil
	}
}

// editRequest is an operator's edit that waits for its result.
type editRequest struct {
	edit   documents.EditSubmitted
	answer chan documents.EditResult
}

func (m editRequest) apply(now time.Time, c *control) {
	c.editWaiters[m.edit.Edit] = append(c.editWaiters[m.edit.Edit], m.answer)
	c.stepDocuments(now, m.edit)
}

// answerEdit answers the oldest submission that waits for an edit. An edit may be
// submitted twice; each submission gets an answer of its own.
func (c *control) answerEdit(answer documents.AnswerEdit) {
	waiting := c.editWaiters[answer.Edit]
	if len(waiting) == 0 {
		return
	}
	waiting[0] <- answer.Result
	c.editWaiters[answer.Edit] = waiting[1:]
	if len(waiting) == 1 {
		delete(c.editWaiters, answer.Edit)
	}
}

// putInForce makes a snapshot of the documents the one that this host serves by.
func (c *control) putInForce(now time.Time, snapshot *documents.Snapshot) {
	c.inForce.Store(snapshot)
	c.routing.Step(now, routing.Documents{
		Documents: snapshot.Documents,
		Revision:  snapshot.Revision,
	})
	c.tableOutdated = true
	// Exchange at once, so that peers needn't wait for the next interval.
	c.nextExchangeAt = now
	c.log.Info("documents in force", zap.Int64("Revision", int64(snapshot.Revision)))
}

// receiveDocuments applies the documents of a peer's message.
func (c *control) receiveDocuments(now time.Time, message documents.Message) {
	c.stepDocuments(now, documents.PeerMessageReceived{
		Message: message,
	})
}

// recordServerMemory records a server's memory, against which edits are checked.
func (c *control) recordServerMemory(now time.Time, report *backend.Report) {
	if c.memoryByServer[report.Server] == report.Memory {
		return
	}
	c.memoryByServer[report.Server] = report.Memory
	c.updateCapacity(now)
}

// memoryReportTimeout is how long edits wait for the memory of a newly listed
// server. A server that never reports must not block edits for ever.
const memoryReportTimeout = 15 * time.Second

// updateCapacity passes the memory of all listed engines to the documents machine.
// An engine that is silent now counts with its last report: it is expected back.
func (c *control) updateCapacity(now time.Time) {
	var event documents.CapacityChanged
	for _, server := range c.sortedServers() {
		if server.Kind != backend.KindEngine {
			continue
		}
		memory := c.memoryByServer[server.Name]
		if memory > 0 {
			event.Servers = append(event.Servers, teamdoc.Server{
				Name:   server.Name,
				Memory: memory,
			})
		} else if now.Before(c.firstListedAt[server.Name].Add(memoryReportTimeout)) {
			event.ServersNotReported++
		}
	}
	c.stepDocuments(now, event)
}

// memoryByServer maps backend servers to their accelerator memory.
type memoryByServer map[ident.ServerName]unit.Bytes
