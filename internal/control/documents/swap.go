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
	m.do(Read{
		Call: e.call,
		Key:  Key(e.Team),
	})
}

func (m *Machine) sendSwap(now time.Time, e *edit, base ident.Revision) {
	e.call = m.nextCall()
	e.callDeadline = now.Add(m.config.CallTimeout)
	e.swapping = true
	e.sent = m.summary
	e.tries++
	swap := m.swapOf(now, e, base)
	e.value = swap.Puts[0].Value
	m.do(Swap{
		Call: e.call,
		Edit: e.Edit,
		Swap: swap,
	})
}

// swapOf makes the one write of an edit: the document, the version before it
// for the history, and the summary, whose compare keeps two documents from
// being accepted that were not checked together.
func (m *Machine) swapOf(now time.Time, e *edit, base ident.Revision) store.Swap {
	next := stored{
		version: Version{
			Team:    e.Team,
			Edit:    e.Edit,
			At:      now,
			Text:    e.Text,
			Deleted: e.Delete,
		},
		after: m.summary,
	}
	if e.Delete {
		next.version.Text = nil
	}
	swap := store.Swap{
		Compares: []store.Compare{
			{
				Key:      Key(e.Team),
				Revision: base,
			},
			{
				Key:      SummaryKey,
				Revision: m.summary,
			},
		},
	}
	var history []store.Put
	if h, found := m.teams[e.Team]; found {
		next.earlier = append([]ref{{
			edit:     h.version.Edit,
			revision: h.version.Revision,
		}}, h.earlier...)
		history = append(history, store.Put{
			Key:   historyKey(e.Team, h.version.Revision),
			Value: encodeVersion(&h.version),
		})
	}
	if len(next.earlier) > keepEarlier {
		for _, r := range next.earlier[keepEarlier:] {
			swap.Deletes = append(swap.Deletes, historyKey(e.Team, r.revision))
		}
		next.earlier = next.earlier[:keepEarlier]
	}
	swap.Puts = append([]store.Put{
		{
			Key:   Key(e.Team),
			Value: encodeStored(&next),
		},
		{
			Key:   SummaryKey,
			Value: encodeSummary(&e.EditSubmitted, m.documentsWith(e)),
		},
	}, history...)
	return swap
}

// callLost takes the answer of the call in flight for lost.
func (m *Machine) callLost(e *edit) {
	e.call = 0
	if e.swapping {
		e.swapping = false
		// The swap may have taken effect. Sending it again at once would be safe
		// by its compares, but a read tells more: whose edit stands there now.
		e.doubt = true
		e.mustRead = true
	}
}

func (m *Machine) swapAnswered(now time.Time, event SwapAnswered) {
	m.learnCurrent(event)
	e := m.editOf(event.Call)
	if e == nil {
		// The edit's deadline passed meanwhile and its operator was told Unknown.
		// What it did to the store comes with the next listing.
		m.sync.stale = m.sync.stale || (event.Outcome == SwapKnown && event.Result.Swapped)
		return
	}
	switch event.Outcome {
	case SwapKnown:
		e.call = 0
		e.swapping = false
		if event.Result.Swapped {
			m.learn(store.Entry{
				Key:      Key(e.Team),
				Value:    e.value,
				Revision: event.Result.Revision,
			})
			return
		}
		e.retryAt = now.Add(m.conflictPause(e))
	case SwapUnavailable:
		e.call = 0
		e.swapping = false
		m.notSwapped(now, e)
	case SwapUnknown:
		m.callLost(e)
	}
}

func (m *Machine) notSwapped(now time.Time, e *edit) {
	pause := m.pause(e.tries)
	if e.doubtful() {
		e.retryAt = now.Add(pause)
		e.mustRead = true
		return
	}
	m.edits = m.edits[1:]
	m.answer(e, Unavailable{
		RetryAt: now.Add(pause),
		Reason:  "the key-value service is unavailable",
	})
}

// learnCurrent takes in what a failed swap found.
func (m *Machine) learnCurrent(event SwapAnswered) {
	if event.Outcome != SwapKnown || event.Result.Swapped {
		return
	}
	for _, entry := range event.Result.Current {
		m.sync.need = max(m.sync.need, entry.Revision)
		if entry.Key == SummaryKey {
			m.learnSummary(entry.Revision, event.Result.Revision)
			continue
		}
		m.learn(entry)
	}
}

// conflictPause spreads hosts that race for the summary. Each conflict means
// that somebody else's edit was accepted, so the race always ends.
func (m *Machine) conflictPause(e *edit) time.Duration {
	const longest = 20 * time.Millisecond
	return time.Duration(m.random.Int64N(int64(longest) * int64(min(e.tries, 10))))
}

func (m *Machine) readAnswered(now time.Time, event ReadAnswered) {
	if !event.Failed {
		m.learn(event.Entry)
	}
	e := m.editOf(event.Call)
	if e == nil {
		return
	}
	e.call = 0
	if event.Failed {
		e.tries++
		e.retryAt = now.Add(m.pause(e.tries))
		return
	}
	e.mustRead = false
}

// editOf finds the edit whose call is in flight: always the first.
func (m *Machine) editOf(call CallID) *edit {
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
