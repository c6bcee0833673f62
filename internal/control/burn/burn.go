// Package burn counts how requests fared against their promised times, and
// reports how fast each team, class and model burns its error budget.
//
// The Machine belongs to the control goroutine. It keeps a row a minute for
// the last hours and a row an hour beyond that, up to three days, so its size
// depends on what is served and not on how much.
//
// # Usage
//
//	machine.Count(now, burn.Sample{
//		Key: burn.Key{
//			Team:  "kerlouan",
//			Class: "Science",
//			Model: "briefing",
//		},
//		Result: burn.InTime,
//	})
//	lines := burn.Report(now, slices.Concat(machine.Rows(now), peersRows))
//	text := burn.Text(lines, hostsThatDidNotAnswer)
//
// # Terms
//
// The objective is the share of requests that must be answered in their
// promised time. The error budget is the rest. The burn rate is the share that
// failed over the error budget: 1 uses the budget up exactly by the end of its
// period, 14.4 within a thirtieth of it. Source: the usual alerting on service
// level objectives by several windows.
package burn

import (
	"sort"
	"time"

	"cicadaloom/internal/domain/ident"
)

// Objective is the share that must be answered in their promised time, as the
// target of letter 1 states it: 95 in 100.
const Objective = 0.95

// Result is how one request fared.
type Result uint8

// The results, the good one first.
const (
	InTime Result = iota
	Late
	Refused
	Failed
	numResults
)

// String gives the result's name in reports.
func (r Result) String() string {
	return [numResults]string{"InTime", "Late", "Refused", "Failed"}[r]
}

// Key is what is counted apart.
type Key struct {
	Team  ident.TeamName
	Class ident.ClassName
	Model ident.ModelName
}

// Sample is one finished request.
type Sample struct {
	Key
	Result Result
}

// Counts is how many requests had each result.
type Counts [numResults]int64

// All adds the results up.
func (c *Counts) All() int64 {
	var all int64
	for _, n := range c {
		all += n
	}
	return all
}

// Bad adds up all results but the good one.
func (c *Counts) Bad() int64 {
	return c.All() - c[InTime]
}

// add merges other counts in.
func (c *Counts) add(other *Counts) {
	for i := range c {
		c[i] += other[i]
	}
}

// Row is the counts of one key in one slice of time that began at Start.
type Row struct {
	Key
	Start  time.Time
	Counts Counts
}

// Slices of time: fine ones as far as the six-hour window looks, coarse ones
// as far as the longest.
const (
	fine       = time.Minute
	coarse     = time.Hour
	keepFine   = 7 * time.Hour
	keepCoarse = 73 * time.Hour
)

type rowKey struct {
	Key
	start int64
}

// Machine keeps this host's counts. The zero value works.
type Machine struct {
	fine   map[rowKey]*Counts
	coarse map[rowKey]*Counts
	swept  time.Time
}

// Count takes one finished request.
func (m *Machine) Count(now time.Time, sample Sample) {
	if m.fine == nil {
		m.fine = make(map[rowKey]*Counts)
		m.coarse = make(map[rowKey]*Counts)
	}
	count(m.fine, now.Truncate(fine), sample)
	count(m.coarse, now.Truncate(coarse), sample)
	if now.Sub(m.swept) >= fine {
		m.swept = now
		sweep(m.fine, now.Add(-keepFine))
		sweep(m.coarse, now.Add(-keepCoarse))
	}
}

func count(rows map[rowKey]*Counts, start time.Time, sample Sample) {
	key := rowKey{
		Key:   sample.Key,
		start: start.Unix(),
	}
	counts, known := rows[key]
	if !known {
		counts = &Counts{}
		rows[key] = counts
	}
	counts[sample.Result]++
}

func sweep(rows map[rowKey]*Counts, before time.Time) {
	for key := range rows {
		if key.start < before.Unix() {
			delete(rows, key)
		}
	}
}

// Rows gives all counts that the windows of a report look at, oldest first:
// fine rows where there are any, coarse ones for what is older. Nothing is in
// two rows.
func (m *Machine) Rows(now time.Time) []Row {
	border := now.Add(-keepFine).Truncate(coarse).Add(coarse)
	var rows []Row
	for key, counts := range m.coarse {
		if key.start < border.Unix() {
			rows = append(rows, row(key, counts))
		}
	}
	for key, counts := range m.fine {
		if key.start >= border.Unix() {
			rows = append(rows, row(key, counts))
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].before(&rows[j]) })
	return rows
}

func row(key rowKey, counts *Counts) Row {
	return Row{
		Key:    key.Key,
		Start:  time.Unix(key.start, 0).UTC(),
		Counts: *counts,
	}
}

func (r *Row) before(other *Row) bool {
	if !r.Start.Equal(other.Start) {
		return r.Start.Before(other.Start)
	}
	if r.Team != other.Team {
		return r.Team < other.Team
	}
	if r.Class != other.Class {
		return r.Class < other.Class
	}
	return r.Model < other.Model
}
