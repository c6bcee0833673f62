package claims

import (
	"container/heap"
	"strings"
	"time"

	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/store"
)

// faultKind is the fault of a message.
type faultKind int

const (
	noFault faultKind = iota
	// unavailable: the store refuses the call, or no connection to the other host is
	// made.
	unavailable
	// answerLost: the call takes effect, and its sender gets no answer.
	answerLost
	// appliedLate: the call takes effect lateDelay after it was made. Its sender gets
	// no answer long before that.
	appliedLate
)

// modelStore models the part of the key-value service that the machine uses.
type modelStore struct {
	entries           map[string]store.Entry
	revision          ident.Revision
	writes            int
	reads             int
	writtenBytes      int
	readBytes         int
	largestValueBytes int
}

func (s *modelStore) read(r ReadPartition) []store.Entry {
	s.reads += max(1, len(r.Keys))
	var found []store.Entry
	for _, key := range r.Keys {
		found = append(found, s.entries[key])
		s.readBytes += len(s.entries[key].Value)
	}
	for key, e := range s.entries {
		if len(r.Keys) == 0 && strings.HasPrefix(key, r.Prefix) {
			found = append(found, e)
			s.readBytes += len(e.Value)
		}
	}
	return found
}

func (s *modelStore) swap(swap store.Swap) store.SwapResult {
	s.writes++
	for _, c := range swap.Compares {
		if current := s.entries[c.Key]; current.Revision != c.Revision {
			current.Key = c.Key
			return store.SwapResult{
				Current: []store.Entry{current},
			}
		}
	}
	s.revision++
	for _, put := range swap.Puts {
		s.entries[put.Key] = store.Entry{
			Key:      put.Key,
			Value:    put.Value,
			Revision: s.revision,
		}
		s.writtenBytes += len(put.Value)
		s.largestValueBytes = max(s.largestValueBytes, len(put.Value))
	}
	for _, key := range swap.Deletes {
		delete(s.entries, key)
	}
	return store.SwapResult{
		Swapped:  true,
		Revision: s.revision,
	}
}

// failureEvent returns the event with which the control loop reports that a call
// failed.
func failureEvent(command Command, err error) Event {
	switch command := command.(type) {
	case ReadPartition:
		return PageRead{
			Partition: command.Partition,
			CallID:    command.CallID,
			Err:       err,
		}
	case SwapPartition:
		return SwapAnswered{
			Partition: command.Partition,
			CallID:    command.CallID,
			Err:       err,
		}
	case ForwardClaim:
		return ClaimForwarded{
			Answer: Answer{
				Attempt: command.Claim.Attempt,
			},
			Err: err,
		}
	case ForwardFinish:
		return UpdateForwarded{
			Attempt: command.Finish.Attempt,
			Err:     err,
		}
	case ForwardRelease:
		return UpdateForwarded{
			Attempt: command.Release.Attempt,
			Err:     err,
		}
	}
	return Tick{}
}

// scheduledCall is a function to be called at a time of the simulation.
type scheduledCall struct {
	at       time.Time
	sequence int
	run      func()
}

type callHeap []scheduledCall

func (e callHeap) Len() int { return len(e) }
func (e callHeap) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].sequence < e[j].sequence
}
func (e callHeap) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *callHeap) Push(x any)   { *e = append(*e, x.(scheduledCall)) }
func (e *callHeap) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (f *fleet) schedule(delay time.Duration, call func()) {
	f.lastSequence++
	heap.Push(&f.scheduled, scheduledCall{
		at:       f.now.Add(delay),
		sequence: f.lastSequence,
		run:      call,
	})
}

// sendTimed simulates the network: a message takes half of a call's time, and may
// have a fault.
func (f *fleet) sendTimed(m message) {
	delay := hopDelay
	if m.isStoreCall() {
		delay = storeDelay / 2
	}
	kind := noFault
	if f.chooseFault != nil && m.event == nil {
		kind = f.chooseFault(m)
	}
	switch kind {
	case unavailable:
		f.schedule(delay, func() { f.step(m.host, failureEvent(m.command, store.ErrUnavailable)) })
		return
	case appliedLate:
		m.dropsReply = true
		f.schedule(f.lateDelay, func() { f.deliver(m) })
	case answerLost:
		m.dropsReply = true
		f.schedule(delay, func() { f.deliver(m) })
	default:
		f.schedule(delay, func() { f.deliver(m) })
		return
	}
	f.schedule(2*delay, func() { f.step(m.host, failureEvent(m.command, store.ErrUnknownOutcome)) })
}

func (m message) isStoreCall() bool {
	switch m.command.(type) {
	case ReadPartition, SwapPartition:
		return true
	}
	return false
}

func (f *fleet) scheduleTick(h *simHost) {
	tickAt := h.machine.NextTick()
	if tickAt.IsZero() || tickAt.Equal(h.tickAt) {
		return
	}
	h.tickAt = tickAt
	f.schedule(tickAt.Sub(f.now), func() {
		if h.tickAt.Equal(tickAt) {
			h.tickAt = time.Time{}
		}
		f.step(h, Tick{})
	})
}

// runFor advances the simulated time and makes the calls that are due.
func (f *fleet) runFor(duration time.Duration) {
	end := f.now.Add(duration)
	for len(f.scheduled) > 0 && !f.scheduled[0].at.After(end) {
		next := heap.Pop(&f.scheduled).(scheduledCall)
		if next.at.After(f.now) {
			f.now = next.at
		}
		next.run()
	}
	f.now = end
}
