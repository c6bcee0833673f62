package documents

import (
	"time"

	"cicadaloom/internal/config/jsonfile"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/store"

	"github.com/pkg/errors"
)

func (m *Machine) sendRead(now time.Time, e *edit) {
	e.call = m.nextCall()
	e.callDeadline = now.Add(m.config.CallTimeout)
	m.emit(Read{
		Call: e.call,
		Key:  Key(e.Team),
	})
}

func (m *Machine) sendSwap(now time.Time, e *edit, base ident.Revision) {
	e.call = m.nextCall()
	e.callDeadline = now.Add(m.config.CallTimeout)
	e.swapInFlight = true
	e.comparedSummary = m.summaryRevision
	e.attempts++
	swap := m.buildSwap(now, e, base)
	e.putValue = swap.Puts[0].Value
	m.emit(Swap{
		Call: e.call,
		Edit: e.Edit,
		Swap: swap,
	})
}

// buildSwap returns the single write of an edit: the document, the version before
// it for the history, and the summary. The compare of the summary keeps documents
// that were not checked together from both being accepted.
func (m *Machine) buildSwap(now time.Time, e *edit, base ident.Revision) store.Swap {
	newDocument := storedDocument{
		version: Version{
			Team:       e.Team,
			Edit:       e.Edit,
			SwapSentAt: now,
			Text:       e.Text,
			Deleted:    e.Delete,
		},
		previousEdit: m.summaryRevision,
	}
	if e.Delete {
		newDocument.version.Text = nil
	}
	swap := store.Swap{
		Compares: []store.Compare{
			{
				Key:      Key(e.Team),
				Revision: base,
			},
			{
				Key:      SummaryKey,
				Revision: m.summaryRevision,
			},
		},
	}
	var history []store.Put
	if state, found := m.teams[e.Team]; found {
		newDocument.earlierVersions = append([]versionRef{{
			edit:     state.version.Edit,
			revision: state.version.Revision,
		}}, state.earlierVersions...)
		history = append(history, store.Put{
			Key:   historyKey(e.Team, state.version.Revision),
			Value: encodeVersion(&state.version),
		})
	}
	if len(newDocument.earlierVersions) > maxEarlierVersions {
		for _, r := range newDocument.earlierVersions[maxEarlierVersions:] {
			swap.Deletes = append(swap.Deletes, historyKey(e.Team, r.revision))
		}
		newDocument.earlierVersions = newDocument.earlierVersions[:maxEarlierVersions]
	}
	swap.Puts = append([]store.Put{
		{
			Key:   Key(e.Team),
			Value: encodeStoredDocument(&newDocument),
		},
		{
			Key:   SummaryKey,
			Value: encodeSummary(&e.EditSubmitted, m.documentsWith(e)),
		},
	}, history...)
	return swap
}

// abandonCall treats the answer of the call in flight as lost.
func (m *Machine) abandonCall(e *edit) {
	e.call = 0
	if e.swapInFlight {
		e.swapInFlight = false
		// The swap may have taken effect. Its compares would make sending it again
		// at once safe, but a read also shows whose edit the key has now.
		e.inDoubt = true
		e.mustRead = true
	}
}

func (m *Machine) handleSwapAnswer(now time.Time, event SwapAnswered) {
	m.applyCurrentEntries(event)
	e := m.editForCall(event.Call)
	if e == nil {
		// The edit's deadline has passed and its operator has got Unknown. If the
		// swap took effect, the next listing has the document.
		m.sync.needsListing = m.sync.needsListing || (event.Outcome == SwapCompleted && event.Result.Swapped)
		return
	}
	switch event.Outcome {
	case SwapCompleted:
		e.call = 0
		e.swapInFlight = false
		if event.Result.Swapped {
			m.applyEntry(store.Entry{
				Key:      Key(e.Team),
				Value:    e.putValue,
				Revision: event.Result.Revision,
			})
			return
		}
		e.retryAt = now.Add(m.conflictDelay(e))
	case SwapUnavailable:
		e.call = 0
		e.swapInFlight = false
		m.handleUnavailableSwap(now, e)
	case SwapUnknown:
		m.abandonCall(e)
	}
}

func (m *Machine) handleUnavailableSwap(now time.Time, e *edit) {
	delay := m.retryDelay(e.attempts)
	if e.mayBeAccepted() {
		e.retryAt = now.Add(delay)
		e.mustRead = true
		return
	}
	m.edits = m.edits[1:]
	m.answerEdit(e, Unavailable{
		RetryAt: now.Add(delay),
		Reason:  "the key-value service is unavailable",
	})
}

// applyCurrentEntries applies the entries that a failed swap returned.
func (m *Machine) applyCurrentEntries(event SwapAnswered) {
	if event.Outcome != SwapCompleted || event.Result.Swapped {
		return
	}
	for _, entry := range event.Result.Current {
		m.sync.neededRevision = max(m.sync.neededRevision, entry.Revision)
		if entry.Key == SummaryKey {
			m.applySummary(entry.Revision, event.Result.Revision)
			continue
		}
		m.applyEntry(entry)
	}
}

// conflictDelay returns a random delay that spreads hosts that race for the
// summary. Each conflict means that another edit was accepted, so the race ends.
func (m *Machine) conflictDelay(e *edit) time.Duration {
	const maxDelayPerAttempt = 20 * time.Millisecond
	return time.Duration(m.random.Int64N(int64(maxDelayPerAttempt) * int64(min(e.attempts, 10))))
}

func (m *Machine) handleReadAnswer(now time.Time, event ReadAnswered) {
	if !event.Failed {
		m.applyEntry(event.Entry)
	}
	e := m.editForCall(event.Call)
	if e == nil {
		return
	}
	e.call = 0
	if event.Failed {
		e.attempts++
		e.retryAt = now.Add(m.retryDelay(e.attempts))
		return
	}
	e.mustRead = false
}

// editForCall returns the edit that waits for a call's answer, or nil. Only the
// first edit has a call in flight.
func (m *Machine) editForCall(call CallID) *edit {
	if len(m.edits) == 0 || call == 0 || m.edits[0].call != call {
		return nil
	}
	return m.edits[0]
}

func asFaults(err error) jsonfile.Faults {
	var faults jsonfile.Faults
	if !errors.As(err, &faults) {
		faults.Add("", err.Error(), "a document")
	}
	return faults
}
