package claims

import (
	"container/heap"
	"strings"
	"time"

	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/store"
)

// fault is what befalls a message on its way.
type fault int

const (
	noFault fault = iota
	// down: a call of the service is refused, a forwarded one finds no host.
	down
	// answerLost: the call has its effect, and its caller is told of no answer.
	answerLost
	// late: the call has its effect long after its caller was told of no answer.
	late
)

// modelStore is the key-value service as far as the claims use it.
type modelStore struct {
	entries   map[string]store.Entry
	revision  ident.Revision
	writes    int
	reads     int
	bytes     int
	readBytes int
	largest   int
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
		if now := s.entries[c.Key]; now.Revision != c.Revision {
			now.Key = c.Key
			return store.SwapResult{
				Current: []store.Entry{now},
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
		s.bytes += len(put.Value)
		s.largest = max(s.largest, len(put.Value))
	}
	for _, key := range swap.Deletes {
		delete(s.entries, key)
	}
	return store.SwapResult{
		Swapped:  true,
		Revision: s.revision,
	}
}

// failed gives the event by which the loop tells that a call had no answer.
func failed(command Command, err error) Event {
	switch command := command.(type) {
	case ReadPartition:
		return PageRead{
			Partition: command.Partition,
			Number:    command.Number,
			Err:       err,
		}
	case SwapPartition:
		return SwapAnswered{
			Partition: command.Partition,
			Number:    command.Number,
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
		return NoteForwarded{
			Attempt: command.Finish.Attempt,
			Err:     err,
		}
	case ForwardRelease:
		return NoteForwarded{
			Attempt: command.Release.Attempt,
			Err:     err,
		}
	}
	return Tick{}
}

// at is a function to be called at an instant of simulated time.
type at struct {
	when time.Time
	seq  int
	call func()
}

type events []at

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].when.Before(e[j].when) || e[i].when.Equal(e[j].when) && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(at)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (f *fleet) after(delay time.Duration, call func()) {
	f.seq++
	heap.Push(&f.timed, at{
		when: f.now.Add(delay),
		seq:  f.seq,
		call: call,
	})
}

// postTimed is the network: half of a call's time each way, and its faults.
func (f *fleet) postTimed(m message) {
	delay := hopDelay
	if m.toStore() {
		delay = storeDelay / 2
	}
	what := noFault
	if f.fault != nil && m.event == nil {
		what = f.fault(m)
	}
	switch what {
	case down:
		f.after(delay, func() { f.step(m.host, failed(m.command, store.ErrUnavailable)) })
		return
	case late:
		m.mute = true
		f.after(f.lateBy, func() { f.arrive(m) })
	case answerLost:
		m.mute = true
		f.after(delay, func() { f.arrive(m) })
	default:
		f.after(delay, func() { f.arrive(m) })
		return
	}
	f.after(2*delay, func() { f.step(m.host, failed(m.command, store.ErrUnknownOutcome)) })
}

func (m message) toStore() bool {
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
	f.after(tickAt.Sub(f.now), func() {
		if h.tickAt.Equal(tickAt) {
			h.tickAt = time.Time{}
		}
		f.step(h, Tick{})
	})
}

// run lets simulated time pass.
func (f *fleet) run(duration time.Duration) {
	end := f.now.Add(duration)
	for len(f.timed) > 0 && !f.timed[0].when.After(end) {
		next := heap.Pop(&f.timed).(at)
		if next.when.After(f.now) {
			f.now = next.when
		}
		next.call()
	}
	f.now = end
}
