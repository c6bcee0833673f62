// Package polling decides when the leader asks each engine for a report.
//
// A report is a call to the engine and a change that all hosts are told. So the number of calls
// a second is bounded, and in a large fleet the time between two reports of an engine grows
// with the number of engines. Engines with a pending order are asked more often, because the
// next order waits for the report that shows the end of this one, and so are engines that did
// not answer, because a silent engine counts as lost after a while.
//
// A Schedule reads no clock, does no I/O and has no lock: one goroutine owns it.
//
// # Usage
//
//	var schedule polling.Schedule
//	schedule.SetEngines(names)
//	for _, name := range schedule.TakeDue(now, planner.HasPendingOrder) {
//		// ask it, then schedule.RecordAnswer(name) or schedule.RecordSilence(name)
//	}
package polling

import (
	"time"

	"cicadaloom/internal/domain/ident"
)

const (
	// minInterval is between two calls to one engine where there are no more than
	// quickEngines: above that it grows in proportion, up to slowInterval.
	minInterval  = 250 * time.Millisecond
	quickEngines = 16
	slowInterval = time.Second
	// callsPerSecond bounds the calls to all engines. More would use up the processors of the
	// leader and of the watchers that pass on what has changed.
	callsPerSecond = 800
	// maxCredit is how many calls may be made at once after a pause.
	maxCredit = callsPerSecond / 2
)

// Interval returns the time between two calls to one of so many engines.
func Interval(engines int) time.Duration {
	interval := minInterval * time.Duration(engines) / quickEngines
	interval = min(max(interval, minInterval), slowInterval)
	return max(interval, time.Second*time.Duration(engines)/callsPerSecond)
}

// Schedule records when each engine was last asked. The zero value is without engines.
type Schedule struct {
	engines []*engine
	byName  map[ident.ServerName]*engine
	// next and nextPreferred are the engines at which the next searches begin, so that all get
	// their turn while more are due than may be asked.
	next          int
	nextPreferred int
	// credit is how many calls may be made at creditAt.
	credit   float64
	creditAt time.Time
	silent   int
	// urgent is the number of engines that were urgent at the last search.
	urgent int
}

// engine is one engine of the schedule.
type engine struct {
	name     ident.ServerName
	askedAt  time.Time
	isSilent bool
}

// SetEngines replaces the engines. Those that remain keep their time.
func (s *Schedule) SetEngines(names []ident.ServerName) {
	before := s.byName
	s.engines = make([]*engine, 0, len(names))
	s.byName = make(map[ident.ServerName]*engine, len(names))
	s.silent = 0
	for _, name := range names {
		e, known := before[name]
		if !known {
			e = &engine{
				name: name,
			}
		}
		if e.isSilent {
			s.silent++
		}
		s.engines = append(s.engines, e)
		s.byName[name] = e
	}
}

// Interval returns the time between two calls to an engine that answers and is not urgent.
func (s *Schedule) Interval() time.Duration {
	return Interval(len(s.engines))
}

// TakeDue returns the engines to ask now, silent ones and those with a pending order first.
// isUrgent tells which engines have one.
func (s *Schedule) TakeDue(now time.Time, isUrgent func(ident.ServerName) bool) []ident.ServerName {
	s.addCredit(now)
	silentInterval := Interval(s.silent)
	urgentInterval := max(minInterval, time.Second*time.Duration(s.urgent)/callsPerSecond)
	s.urgent = 0
	due := s.take(now, &s.nextPreferred, func(e *engine) bool {
		if isUrgent(e.name) {
			s.urgent++
			return now.Sub(e.askedAt) >= urgentInterval
		}
		return e.isSilent && now.Sub(e.askedAt) >= silentInterval
	})
	interval := s.Interval()
	return append(due, s.take(now, &s.next, func(e *engine) bool { return now.Sub(e.askedAt) >= interval })...)
}

// take takes engines that are due, from the one at next on, as long as there is credit.
func (s *Schedule) take(now time.Time, next *int, isDue func(*engine) bool) []ident.ServerName {
	var taken []ident.ServerName
	first := *next
	for i := range s.engines {
		at := (first + i) % len(s.engines)
		e := s.engines[at]
		if !isDue(e) || s.credit < 1 {
			continue
		}
		s.credit--
		e.askedAt = now
		*next = at + 1
		taken = append(taken, e.name)
	}
	return taken
}

// addCredit adds the calls that may be made since the last search.
func (s *Schedule) addCredit(now time.Time) {
	if s.creditAt.IsZero() {
		s.credit = maxCredit
	}
	s.credit = min(s.credit+now.Sub(s.creditAt).Seconds()*callsPerSecond, maxCredit)
	s.creditAt = now
}

// RecordAnswer records that an engine has answered, and returns whether it was silent before.
func (s *Schedule) RecordAnswer(name ident.ServerName) bool {
	return s.setSilent(name, false)
}

// RecordSilence records that an engine has not answered, and returns whether it did before.
func (s *Schedule) RecordSilence(name ident.ServerName) bool {
	return s.setSilent(name, true)
}

// setSilent returns whether that is a change.
func (s *Schedule) setSilent(name ident.ServerName, isSilent bool) bool {
	e, known := s.byName[name]
	if !known || e.isSilent == isSilent {
		return false
	}
	e.isSilent = isSilent
	if isSilent {
		s.silent++
	} else {
		s.silent--
	}
	return true
}
